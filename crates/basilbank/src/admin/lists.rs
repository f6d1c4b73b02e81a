//! The daemon's lists: flat objects, one for each thing.

use std::collections::BTreeMap;

use basilbank_core::{
    catalogue::{Endpoint, Entry, Role, Team},
    ids::{DataCentreId, EndpointId, TeamId, VmId},
    state::{Member, RolloutStage, ServingTarget, State},
};
use basilbank_wire::VmRecord;
use serde::Serialize;

use crate::names::Names;

/// The daemon itself.
#[derive(Clone, PartialEq, Serialize, Debug)]
pub struct Status {
    name: String,
    incarnation: u64,
    ready: bool,
    leaving: bool,
    catalogue: u64,
    documents: u64,
    vms: u64,
    listed: usize,
    live: usize,
    decides: bool,
    requests: usize,
    queued: usize,
}

/// One entry of the catalogue.
#[derive(Clone, PartialEq, Serialize, Debug)]
pub struct EntryRow {
    name: String,
    team: String,
    class: String,
    target: String,
    requests_limit: f64,
    tokens_limit: f64,
    concurrent_limit: u32,
    owed: f64,
}

/// One endpoint.
#[derive(Clone, PartialEq, Serialize, Debug)]
pub struct EndpointRow {
    name: String,
    role: &'static str,
    serves: String,
    data_centre: String,
    address: String,
    slots: u32,
    held: usize,
    busy: Option<u32>,
    steward: String,
    leaving: bool,
    says_leaving: bool,
    failures: u32,
    aside: bool,
    fencing: bool,
    orders: bool,
}

/// One team.
#[derive(Clone, PartialEq, Serialize, Debug)]
pub struct TeamRow {
    name: String,
    keys: usize,
    entries: usize,
    requests: usize,
}

/// One VM of the system.
#[derive(Clone, PartialEq, Serialize, Debug)]
pub struct PeerRow {
    name: String,
    address: String,
    data_centre: String,
    live: bool,
    leaving: bool,
    incarnation: u64,
    heartbeat: u64,
    own: bool,
}

/// What one endpoint is to serve.
#[derive(Clone, PartialEq, Serialize, Debug)]
pub struct OrderRow {
    endpoint: String,
    /// `served`, `waiting`, `draining`, `ordered`, or `unknown` to this daemon.
    stage: &'static str,
    model: String,
    version: String,
    adapter: String,
    role: &'static str,
    served_version: String,
    served_adapter: String,
    fence: u64,
    fencing: bool,
    steward: String,
}

/// The daemon's state in short.
pub fn status(state: &State) -> Status {
    Status {
        name: state.local.name.clone(),
        incarnation: state.local.incarnation,
        ready: state.is_ready(),
        leaving: state.leaving,
        catalogue: state.view.catalogue.revision,
        documents: state.documents.store.revision,
        vms: state.documents.vms.revision,
        listed: state.members.all.len(),
        live: state.members.all.values().filter(|m| m.live).count(),
        decides: state.members.may_decide(),
        requests: state.requests.arena.len(),
        queued: state.requests.queued,
    }
}

/// The catalogue's entries.
pub fn catalogue(state: &State, names: &Names) -> Vec<EntryRow> {
    let row = |entry: &Entry| EntryRow {
        name: entry.name.clone(),
        team: names.team(entry.team).to_owned(),
        class: names.class_of(entry.id).to_owned(),
        target: names.target(entry.target).to_owned(),
        requests_limit: entry.limits.requests,
        tokens_limit: entry.limits.tokens,
        concurrent_limit: entry.limits.concurrent,
        owed: entry.limits.owed,
    };
    state.view.catalogue.entries.iter().map(row).collect()
}

/// The endpoints, as this daemon knows them.
pub fn endpoints(state: &State, names: &Names) -> Vec<EndpointRow> {
    let mut held: BTreeMap<EndpointId, usize> = BTreeMap::new();
    for (slot, _) in state.slots.held() {
        *held.entry(slot.endpoint).or_default() += 1;
    }
    let vms = VmNames::new(state);
    let row = |endpoint: &Endpoint| {
        let known = state.health.endpoints.get(&endpoint.id);
        EndpointRow {
            name: endpoint.name.clone(),
            role: role_name(endpoint.role),
            serves: names.target(endpoint.serves).to_owned(),
            data_centre: vms.data_centre(endpoint.data_centre),
            address: endpoint.address.clone(),
            slots: endpoint.slots,
            held: held.get(&endpoint.id).copied().unwrap_or_default(),
            busy: state.orders.reports.get(&endpoint.id).map(|s| s.active_requests),
            steward: vms.steward(state, endpoint.id),
            leaving: endpoint.leaving,
            says_leaving: known.is_some_and(|k| k.leaving),
            failures: known.map_or(0, |k| k.failures),
            aside: known.is_some_and(|k| k.exclusion.is_some()),
            fencing: endpoint.checks_fencing,
            orders: endpoint.accepts_orders,
        }
    };
    state.view.catalogue.endpoints.iter().map(row).collect()
}

/// The teams, with their requests in progress at this daemon.
pub fn teams(state: &State, _names: &Names) -> Vec<TeamRow> {
    let mut requests: BTreeMap<TeamId, usize> = BTreeMap::new();
    for request in state.requests.arena.values() {
        *requests.entry(request.team).or_default() += 1;
    }
    let mut entries: BTreeMap<TeamId, usize> = BTreeMap::new();
    for entry in &state.view.catalogue.entries {
        *entries.entry(entry.team).or_default() += 1;
    }
    let row = |team: &Team| TeamRow {
        name: team.name.clone(),
        keys: team.keys.len(),
        entries: entries.get(&team.id).copied().unwrap_or_default(),
        requests: requests.get(&team.id).copied().unwrap_or_default(),
    };
    state.view.catalogue.teams.iter().map(row).collect()
}

/// The VMs on the platform's list.
pub fn peers(state: &State, _names: &Names) -> Vec<PeerRow> {
    let row = |record: &VmRecord| {
        let vm = VmId::of(&record.name);
        let member = state.members.all.get(&vm);
        PeerRow {
            name: record.name.clone(),
            address: record.address.clone(),
            data_centre: record.data_centre.clone(),
            live: state.members.is_live(vm),
            leaving: member.is_some_and(Member::is_leaving),
            incarnation: member.map_or(0, |m| m.incarnation),
            heartbeat: member.map_or(0, |m| m.heartbeat_counter),
            own: vm == state.members.own,
        }
    };
    state.documents.vms.vms.iter().map(row).collect()
}

/// What the endpoints that take orders are to serve.
pub fn orders(state: &State, names: &Names) -> Vec<OrderRow> {
    let vms = VmNames::new(state);
    let takers = state.view.catalogue.endpoints.iter().filter(|e| e.accepts_orders);
    let row = |endpoint: &Endpoint| {
        let target = ServingTarget::new(&names.view, endpoint)?;
        let serving = state.orders.reports.get(&endpoint.id);
        Some(OrderRow {
            endpoint: endpoint.name.clone(),
            stage: stage(state, endpoint.id, &target),
            role: role_name(target.role),
            model: target.model,
            version: target.version,
            adapter: target.adapter,
            served_version: serving.map_or_else(String::new, |s| s.version.clone()),
            served_adapter: serving.map_or_else(String::new, |s| s.adapter.clone()),
            fence: serving.map_or(0, |s| s.fence),
            fencing: endpoint.checks_fencing,
            steward: vms.steward(state, endpoint.id),
        })
    };
    takers.filter_map(row).collect()
}

/// How far an endpoint is on its way to what it should serve. Only its steward knows of a roll.
fn stage(state: &State, endpoint: EndpointId, target: &ServingTarget) -> &'static str {
    if let Some(roll) = state.orders.rollouts.get(&endpoint) {
        return match roll.stage {
            RolloutStage::Waiting => "waiting",
            RolloutStage::Draining { .. } => "draining",
            RolloutStage::Ordered { .. } => "ordered",
        };
    }
    let serving = state.orders.reports.get(&endpoint);
    if serving.is_some_and(|s| s.is_on_target(target)) { "served" } else { "unknown" }
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Prefill => "prefill",
        Role::Decode => "decode",
        Role::Plain => "plain",
    }
}

/// Names of VMs and data centres, from the VM list.
struct VmNames<'a> {
    vms: BTreeMap<VmId, &'a str>,
    data_centres: BTreeMap<DataCentreId, &'a str>,
}

impl<'a> VmNames<'a> {
    fn new(state: &'a State) -> VmNames<'a> {
        let list = &state.documents.vms.vms;
        // The daemon itself may not be listed yet.
        let own = [state.local.name.as_str()];
        VmNames {
            vms: list
                .iter()
                .map(|r| r.name.as_str())
                .chain(own)
                .map(|n| (VmId::of(n), n))
                .collect(),
            data_centres: list
                .iter()
                .map(|r| (DataCentreId::of(&r.data_centre), r.data_centre.as_str()))
                .collect(),
        }
    }

    fn steward(&self, state: &State, endpoint: EndpointId) -> String {
        let steward = state.members.owner(endpoint.0);
        steward.map_or_else(String::new, |vm| self.vm(vm))
    }

    fn vm(&self, vm: VmId) -> String {
        self.vms.get(&vm).map_or_else(|| vm.to_string(), |name| (*name).to_owned())
    }

    /// The catalogue keeps a hash only; a data centre without a VM of the system shows as that.
    fn data_centre(&self, id: DataCentreId) -> String {
        self.data_centres.get(&id).map_or_else(|| id.to_string(), |name| (*name).to_owned())
    }
}
