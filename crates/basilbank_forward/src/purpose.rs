//! Why something is sent to an endpoint.

/// Why something is sent to an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Purpose {
    /// Work for a caller: a call, a prefill, a decode, or a slot for it.
    Work,
    /// An order to change the stage.
    Order,
    /// Gives back what is held for a call.
    Release,
    /// Asks whether the endpoint is alive.
    Probe,
}

impl Purpose {
    /// Returns the stable name for logs and metric labels.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Purpose::Work => "work",
            Purpose::Order => "order",
            Purpose::Release => "release",
            Purpose::Probe => "probe",
        }
    }
}
