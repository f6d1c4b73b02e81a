//! A small site: a platform with a catalogue, model engines and a plain service.

use std::{fmt::Write as _, io, net::SocketAddr, time::Duration};

use basilbank_config::{Settings, key_hash};
use serde_json::{Value, json};

use crate::{Engine, EngineSpec, PlainService, Platform, Role, Vm};

/// The bearer key of the site's one team.
pub const CALLER_KEY: &str = "fitters-demo-key";
/// The bearer key of the site's operators.
pub const ADMIN_KEY: &str = "operators-demo-key";
/// The entry's name that callers put into `model`.
pub const ENTRY: &str = "quotes";

const PEER_KEY: &str = "daemons-of-the-demo-site";
const DATA_CENTRE: &str = "hall-a";

/// How large a site is, and what its engines are like.
#[derive(Clone, PartialEq, Debug)]
pub struct SiteSpec {
    /// Prefill engines.
    pub prefills: usize,
    /// Decode engines.
    pub decodes: usize,
    /// Replicas of the plain service.
    pub plains: usize,
    /// What the engines have in common.
    pub engine: EngineSpec,
}

impl Default for SiteSpec {
    fn default() -> SiteSpec {
        SiteSpec { prefills: 2, decodes: 2, plains: 2, engine: EngineSpec::default() }
    }
}

/// A running site.
#[derive(Debug)]
pub struct Site {
    /// The platform, which has the site's catalogue.
    pub platform: Platform,
    /// Prefill engines, named `prefill-0` and so on.
    pub prefills: Vec<Engine>,
    /// Decode engines, named `decode-0` and so on.
    pub decodes: Vec<Engine>,
    /// Replicas of the plain service, named `desk-0` and so on.
    pub plains: Vec<PlainService>,
    engine: EngineSpec,
}

impl Site {
    /// Starts all stand-ins and publishes their catalogue.
    ///
    /// # Errors
    /// When an address can't be listened on.
    pub fn start(spec: &SiteSpec) -> io::Result<Site> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let prefill = spec.engine.clone().with_role(Role::Prefill);
        let decode = spec.engine.clone().with_role(Role::Decode);
        let engines = |spec: &EngineSpec, count| {
            (0..count).map(|_| Engine::start(spec.clone())).collect::<io::Result<Vec<Engine>>>()
        };
        let site = Site {
            platform: Platform::start(any, Duration::ZERO)?,
            prefills: engines(&prefill, spec.prefills)?,
            decodes: engines(&decode, spec.decodes)?,
            plains: (0..spec.plains)
                .map(|_| PlainService::start(any))
                .collect::<io::Result<_>>()?,
            engine: spec.engine.clone(),
        };
        site.platform.put("catalogue/site", &site.catalogue().to_string());
        Ok(site)
    }

    /// The catalogue of all stand-ins.
    #[must_use]
    pub fn catalogue(&self) -> Value {
        let key = key_hash(CALLER_KEY).iter().fold(String::new(), |mut hex, byte| {
            let _ = write!(hex, "{byte:02x}");
            hex
        });
        let spec = &self.engine;
        json!({
            "teams": [{ "name": "fitters", "keys": [key] }],
            "classes": [
                { "name": "draft", "ttft_ms": 340, "tbt_ms": 44, "wait_ms": 10_000 },
                { "name": "lookup", "ttft_ms": 100, "wait_ms": 1000 },
            ],
            "models": [{
                "name": spec.model, "version": spec.version, "weight_bytes": 16_000_000_000_u64,
                "kv_bytes_per_token": spec.token_bytes, "block_tokens": spec.block_tokens,
            }],
            "services": [{ "name": "desk", "prefix": "/desk/" }],
            "entries": [
                {
                    "name": ENTRY, "owner": "fitters", "class": "draft", "model": spec.model,
                    "limits": { "owed": 0.5 },
                },
                { "name": "desk-lookups", "owner": "fitters", "class": "lookup", "service": "desk" },
            ],
            "endpoints": self.endpoints(),
        })
    }

    fn endpoints(&self) -> Vec<Value> {
        let spec = &self.engine;
        let mut all = Vec::new();
        for (i, engine) in self.prefills.iter().enumerate() {
            all.push(json!({
                "name": format!("prefill-{i}"), "address": engine.address(),
                "data_centre": DATA_CENTRE, "role": "prefill", "model": spec.model, "slots": 1,
                "prefill_tokens_per_s": spec.prefill_rate, "link_bytes_per_s": spec.link_rate,
                "fencing": true, "orders": true,
            }));
        }
        for (i, engine) in self.decodes.iter().enumerate() {
            all.push(json!({
                "name": format!("decode-{i}"), "address": engine.address(),
                "data_centre": DATA_CENTRE, "role": "decode", "model": spec.model,
                "slots": spec.slots, "link_bytes_per_s": spec.link_rate,
                "fencing": true, "orders": true,
            }));
        }
        for (i, service) in self.plains.iter().enumerate() {
            all.push(json!({
                "name": format!("desk-{i}"), "address": service.address(),
                "data_centre": DATA_CENTRE, "role": "plain", "service": "desk", "slots": 64,
            }));
        }
        all
    }

    /// Settings of a daemon at the site, with ports that the system chooses.
    #[must_use]
    pub fn settings(&self, name: &str) -> Settings {
        Settings {
            name: name.to_owned(),
            data_centre: DATA_CENTRE.to_owned(),
            platform: self.platform.url(),
            peer_key: PEER_KEY.to_owned(),
            admin_key: ADMIN_KEY.to_owned(),
            ..Settings::default()
        }
    }

    /// Settings as a file for `basilbankd`.
    #[must_use]
    pub fn settings_text(settings: &Settings) -> String {
        let file = json!({
            "name": settings.name,
            "data_centre": settings.data_centre,
            "callers": settings.callers,
            "peers": settings.peers,
            "admin": settings.admin,
            "platform": settings.platform,
            "peer_key": settings.peer_key,
            "admin_key": settings.admin_key,
            "log": { "level": settings.log.level },
            "tuning": tuning(settings),
        });
        format!("// Made by `basilbank_standin serve`.\n{file:#}\n")
    }

    /// Puts daemons on the platform's list, each by its name and its peers' address.
    pub fn list_vms(&self, daemons: &[(String, SocketAddr)]) {
        let vm = |(name, address): &(String, SocketAddr)| Vm {
            name: name.clone(),
            address: address.to_string(),
            data_centre: DATA_CENTRE.to_owned(),
            leaving: false,
        };
        self.platform.set_vms(daemons.iter().map(vm).collect());
    }
}

/// The tuning's times that matter among several daemons, as a settings file has them.
fn tuning(settings: &Settings) -> Value {
    let tuning = &settings.tuning;
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    json!({
        "dead_after_ms": millis(tuning.dead_after),
        "skew_ms": millis(tuning.skew),
        "reap_interval_ms": millis(tuning.reap_interval),
        "stream_grace_ms": millis(tuning.stream_grace),
    })
}
