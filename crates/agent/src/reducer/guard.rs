//! The endpoints on this worker. The agent alone admits requests to their slots and connections.

use {
    crate::announce::{ExecutorAnnouncement, ANNOUNCE_LEASE},
    base::{EndpointId, ServiceName, SlotCount},
    hdrhistogram::Histogram,
    indexmap::IndexMap,
    proto::messages::{EndpointAnnouncement, EndpointLoad, NotRunReason, ServiceUsage},
    std::time::Duration,
    telemetry::AgentEvent,
};

/// The divisor that weights a new service time in the moving average.
const SMOOTHING: u32 = 8;
const LARGEST_SERVICE_TIME_MICROS: u64 = 600_000_000;

/// An executor that has announced itself.
#[derive(Debug)]
pub(super) struct GuardedEndpoint {
    announcement: ExecutorAnnouncement,
    announced: Duration,
    left: bool,
    expired: bool,
    in_use: u32,
    service_time: Duration,
}

impl GuardedEndpoint {
    /// Returns the executor's announcement.
    pub(super) fn announcement(&self) -> &ExecutorAnnouncement {
        &self.announcement
    }

    /// Returns true when the endpoint takes no new requests.
    fn is_leaving(&self) -> bool {
        self.left || self.expired
    }

    fn available(&self) -> u32 {
        let limit = self.announcement.slots.0.min(self.announcement.connections.0);
        limit.saturating_sub(self.in_use)
    }
}

/// All endpoints of the worker.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    endpoints: IndexMap<EndpointId, GuardedEndpoint>,
    service_times: IndexMap<ServiceName, Histogram<u64>>,
    version: u64,
    in_use: u32,
}

impl EndpointTable {
    /// Returns a version that rises whenever the endpoint announcements to control change.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of calls in progress over all endpoints.
    pub(super) fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Returns the endpoint, if it has been announced.
    pub(super) fn get(&self, endpoint: &EndpointId) -> Option<&GuardedEndpoint> {
        self.endpoints.get(endpoint)
    }

    /// Processes an announcement. Returns an event when it differs from the previous one.
    pub(super) fn announce(
        &mut self,
        now: Duration,
        announcement: ExecutorAnnouncement,
    ) -> Option<AgentEvent> {
        let event = AgentEvent::EndpointAnnounced {
            endpoint: announcement.endpoint.clone(),
            address: announcement.address,
        };
        if let Some(known) = self.endpoints.get_mut(&announcement.endpoint) {
            let (previous, announced_incarnation) =
                (known.announcement.incarnation, announcement.incarnation);
            if announced_incarnation < previous {
                return None;
            }
            known.announced = now;
            let resumed = std::mem::take(&mut known.expired) && !known.left;
            if known.announcement == announcement && !resumed {
                return None;
            }
            known.left &= announced_incarnation == previous;
            known.announcement = announcement;
            self.version += 1;
            return Some(event);
        }
        let guarded = GuardedEndpoint {
            announced: now,
            left: false,
            expired: false,
            in_use: 0,
            service_time: Duration::ZERO,
            announcement,
        };
        self.endpoints.insert(guarded.announcement.endpoint.clone(), guarded);
        self.version += 1;
        Some(event)
    }

    /// Marks an endpoint as leaving, so that it takes no new requests.
    pub(super) fn leave(&mut self, endpoint: &EndpointId) -> Option<AgentEvent> {
        let known = self.endpoints.get_mut(endpoint)?;
        if std::mem::replace(&mut known.left, true) {
            return None;
        }
        self.version += 1;
        Some(AgentEvent::EndpointDraining { endpoint: endpoint.clone() })
    }

    /// Marks endpoints whose announcement has expired as leaving, and removes them once they have
    /// no request in progress.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<AgentEvent> {
        let mut events = Vec::new();
        for (endpoint, known) in &mut self.endpoints {
            if now < known.announced + ANNOUNCE_LEASE || known.expired {
                continue;
            }
            known.expired = true;
            self.version += 1;
            events.push(AgentEvent::EndpointDraining { endpoint: endpoint.clone() });
        }
        let is_removable = |known: &GuardedEndpoint| known.expired && known.in_use == 0;
        let (version, events_out) = (&mut self.version, &mut events);
        self.endpoints.retain(|endpoint, known| {
            if !is_removable(known) {
                return true;
            }
            *version += 1;
            events_out.push(AgentEvent::EndpointGone { endpoint: endpoint.clone() });
            false
        });
        events
    }

    /// Returns when the next announcement expires.
    pub(super) fn next_expiry(&self) -> Option<Duration> {
        let waiting = self.endpoints.values().filter(|known| !known.expired);
        waiting.map(|known| known.announced + ANNOUNCE_LEASE).min()
    }

    /// Reserves a slot and a connection, or returns why that is impossible.
    pub(super) fn admit(&mut self, endpoint: &EndpointId) -> Result<(), NotRunReason> {
        let known = self.endpoints.get_mut(endpoint).ok_or(NotRunReason::NoEndpoint)?;
        if known.is_leaving() {
            return Err(NotRunReason::Draining);
        }
        if known.available() == 0 {
            return Err(NotRunReason::NoSlot);
        }
        known.in_use += 1;
        self.in_use += 1;
        Ok(())
    }

    /// Releases a slot and a connection.
    pub(super) fn release(&mut self, endpoint: &EndpointId) {
        self.in_use = self.in_use.saturating_sub(1);
        if let Some(known) = self.endpoints.get_mut(endpoint) {
            known.in_use = known.in_use.saturating_sub(1);
        }
    }

    /// Records how long an executor took to answer.
    pub(super) fn record_service_time(
        &mut self,
        endpoint: &EndpointId,
        service: &ServiceName,
        elapsed: Duration,
    ) {
        if let Some(known) = self.endpoints.get_mut(endpoint) {
            known.service_time = match known.service_time {
                Duration::ZERO => elapsed,
                before => before - before / SMOOTHING + elapsed / SMOOTHING,
            };
        }
        let histogram = self.service_times.entry(service.clone()).or_insert_with(new_histogram);
        histogram.saturating_record(elapsed.as_micros() as u64);
    }

    /// Returns the service times measured since the previous call, and resets them.
    pub(super) fn take_usage(&mut self) -> Vec<ServiceUsage> {
        let service_times = std::mem::take(&mut self.service_times);
        let usage = service_times.into_iter().map(|(service, histogram)| ServiceUsage {
            service,
            requests: histogram.len(),
            p99: Duration::from_micros(histogram.value_at_quantile(0.99)),
            mean: Duration::from_micros(histogram.mean() as u64),
        });
        usage.collect()
    }

    /// Returns the present load of an endpoint.
    pub(super) fn load(&self, endpoint: &EndpointId, draining: bool) -> EndpointLoad {
        let Some(known) = self.endpoints.get(endpoint) else {
            return EndpointLoad { draining: true, ..EndpointLoad::default() };
        };
        EndpointLoad {
            in_use: SlotCount(known.in_use),
            slots: known.announcement.slots,
            service_time: known.service_time,
            draining: draining || known.is_leaving(),
        }
    }

    /// Returns the endpoint announcements for control.
    pub(super) fn announcements(&self, draining: bool) -> Vec<EndpointAnnouncement> {
        let known = self.endpoints.values();
        let announcements = known.map(|known| EndpointAnnouncement {
            endpoint: known.announcement.endpoint.clone(),
            service: known.announcement.service.clone(),
            slots: known.announcement.slots,
            connections: known.announcement.connections,
            draining: draining || known.is_leaving(),
        });
        announcements.collect()
    }

    /// Returns the endpoints whose executor is this task.
    pub(super) fn endpoints_of_task(&self, task: &base::TaskId) -> Vec<EndpointId> {
        let known = self.endpoints.iter();
        let of_task = known.filter(|(_, known)| known.announcement.task.as_ref() == Some(task));
        of_task.map(|(endpoint, _)| endpoint.clone()).collect()
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(LARGEST_SERVICE_TIME_MICROS, 2).expect("the bounds are constant")
}
