//! What the two deployments' callers ask for.

use std::{sync::Arc, time::Duration};

use basilbank_core::state::Rng;

use crate::world::{Ask, Job, Pool, Spec};

/// Tokens of one block of the prefix cache.
const BLOCK: u32 = 16;
/// Before this the daemons find each other; nothing is asked.
pub const START: Duration = Duration::from_secs(20);
/// Time between two questions on one prompt.
const LEAST_GAP: Duration = Duration::from_secs(2);
const MOST_GAP: Duration = Duration::from_secs(6);

/// One deployment.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Deployment {
    /// Short priced scopes from site notes; decode is scarce.
    Kitafuji,
    /// Questions on long plans, several on the same one; both pools are scarce.
    Kommunkalkyl,
}

impl Deployment {
    /// Both.
    pub const ALL: [Deployment; 2] = [Deployment::Kitafuji, Deployment::Kommunkalkyl];

    /// Its name in the figures.
    pub fn name(self) -> &'static str {
        match self {
            Deployment::Kitafuji => "kitafuji",
            Deployment::Kommunkalkyl => "kommunkalkyl",
        }
    }

    /// Its parts and sizes. The plain service is made small, so that its load stays quick to run;
    /// prefix caches hold about as much as the prompts of a decode endpoint's slots.
    pub fn spec(self) -> Spec {
        let base = match self {
            Deployment::Kitafuji => Spec::kitafuji(),
            Deployment::Kommunkalkyl => Spec::kommunkalkyl(),
        };
        let plain = Pool { slots: 4, backlog: 16, ..base.plain };
        Spec { plain, texts: false, cache_blocks: 2 * base.cache_blocks, ..base }
    }

    /// Prompt tokens that all drafts begin with.
    fn shared(self) -> u32 {
        match self {
            Deployment::Kitafuji => 800,
            Deployment::Kommunkalkyl => 480,
        }
    }

    /// Least and most tokens of a prompt's own part.
    fn own(self) -> (u32, u32) {
        match self {
            Deployment::Kitafuji => (300, 2000),
            Deployment::Kommunkalkyl => (2000, 8000),
        }
    }

    /// Least and most tokens of an answer.
    fn output(self) -> (u32, u32) {
        match self {
            Deployment::Kitafuji => (60, 220),
            Deployment::Kommunkalkyl => (100, 400),
        }
    }

    /// Questions on one prompt.
    fn questions(self) -> u32 {
        match self {
            Deployment::Kitafuji => 1,
            Deployment::Kommunkalkyl => 4,
        }
    }

    /// Share of the questions after the first whose prompt is still cached where it was prefilled.
    fn cached(self) -> f64 {
        match self {
            Deployment::Kitafuji => 0.0,
            Deployment::Kommunkalkyl => 0.5,
        }
    }

    /// The longest conversation.
    fn longest(self) -> Duration {
        MOST_GAP * (self.questions() - 1)
    }

    /// Drafts a second that the scarcer of the two pools can serve when the shared part of all
    /// prompts is cached, and a share of what was asked before.
    pub fn draft_capacity(self, spec: &Spec) -> f64 {
        let mean = |(least, most): (u32, u32)| f64::from(least + most) / 2.0;
        let again = f64::from(self.questions() - 1) / f64::from(self.questions());
        let fresh = mean(self.own()) * (1.0 - again * self.cached()) / spec.prefill_rate;
        let prefill = spec.prefill.count as f64 / fresh;
        let step = spec.step_base + spec.step_stream * spec.decode.slots;
        let slots = spec.decode.count as f64 * f64::from(spec.decode.slots);
        let decode = slots / (mean(self.output()) * step.as_secs_f64());
        prefill.min(decode)
    }

    /// Plain calls a second that the service can serve.
    pub fn call_capacity(self, spec: &Spec) -> f64 {
        spec.plain.count as f64 * f64::from(spec.plain.slots) / spec.plain_time.as_secs_f64()
    }
}

/// Arrivals of one team.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// The team's number.
    pub team: usize,
    /// Drafts a second.
    pub drafts: f64,
    /// Plain calls a second.
    pub calls: f64,
    /// When it begins.
    pub from: Duration,
    /// When it ends.
    pub until: Duration,
}

/// Makes asks.
pub struct Maker {
    deployment: Deployment,
    rng: Rng,
    prompts: u64,
}

impl Maker {
    /// A maker of asks with its own random numbers.
    pub fn new(deployment: Deployment, seed: u64) -> Maker {
        Maker { deployment, rng: Rng::new(seed), prompts: 0 }
    }

    /// All asks of a team: drafts and calls, at random moments.
    pub fn asks(&mut self, stream: &Stream) -> Vec<Ask> {
        let mut asks = Vec::new();
        let prompts = stream.drafts / f64::from(self.deployment.questions());
        // Conversations that began earlier go on within the run, so its load is the same all along.
        let begun = stream.from.saturating_sub(self.deployment.longest());
        for at in self.moments(prompts, begun, stream.until) {
            self.conversation(stream, at, &mut asks);
        }
        for at in self.moments(stream.calls, stream.from, stream.until) {
            let method = if self.rng.unit() < 0.1 { "POST" } else { "GET" };
            asks.push(Ask::plain(stream.team, method).at(at));
        }
        asks
    }

    fn moments(&mut self, rate: f64, from: Duration, until: Duration) -> Vec<Duration> {
        let mut at = from;
        let mut all = Vec::new();
        if rate <= 0.0 {
            return all;
        }
        loop {
            let gap = -(1.0 - self.rng.unit()).ln() / rate;
            at += Duration::from_secs_f64(gap);
            if until <= at {
                return all;
            }
            all.push(at);
        }
    }

    /// Questions on one prompt, one after the other.
    fn conversation(&mut self, stream: &Stream, at: Duration, asks: &mut Vec<Ask>) {
        self.prompts += 1;
        let prompt = self.prompts;
        let own = self.between(self.deployment.own());
        let mut at = at;
        for question in 0..self.deployment.questions() {
            let extra = if question == 0 { 0 } else { self.between((50, 200)) };
            if (stream.from..stream.until).contains(&at) {
                asks.push(self.draft(stream.team, prompt, own, extra).at(at));
            }
            at += LEAST_GAP + (MOST_GAP - LEAST_GAP).mul_f64(self.rng.unit());
        }
    }

    fn draft(&mut self, team: usize, prompt: u64, own: u32, extra: u32) -> Ask {
        let shared = self.deployment.shared();
        let output = self.between(self.deployment.output());
        let tokens = shared + own + extra;
        let team_mark = (team as u64 + 1) << 48;
        let block = |i: u32| match i * BLOCK {
            start if start < shared => u64::from(i) + 1,
            _ => team_mark | prompt << 16 | u64::from(i),
        };
        let blocks: Arc<[u64]> = (0..(shared + own) / BLOCK).map(block).collect();
        let most = self.deployment.output().1;
        let mut ask = Ask::draft(team, tokens, output);
        ask.job = Job::Draft { tokens, blocks, output, max_tokens: most };
        ask
    }

    fn between(&mut self, (least, most): (u32, u32)) -> u32 {
        least + self.rng.index((most - least + 1) as usize) as u32
    }
}
