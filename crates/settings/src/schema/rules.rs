//! The keys of declarations, settings and job files. `docs/CONFIGURATION.md` explains each.

use super::{
    optional, required, KeyRule,
    ValueKind::{
        Address, ByName, Bytes, Count, Cpu, Day, Duration, Flag, List, Name, Number, OneOf, Table,
        Text,
    },
};

const MOST: i64 = u32::MAX as i64;
const PERCENT: super::ValueKind = Count { least: 0, most: 100 };
const POSITIVE_COUNT: super::ValueKind = Count { least: 1, most: MOST };

const RESOURCES: &[KeyRule] = &[
    required("cpu", Cpu, "processor time, such as \"16\" cores"),
    required("memory", Bytes, "memory, such as \"60GB\""),
    optional("accelerators", Count { least: 0, most: MOST }),
];

const POLICY: &[KeyRule] = &[
    optional(
        "request",
        Table(&[
            optional("deadline", Duration),
            optional("body_limit", Bytes),
            optional("queue", Count { least: 0, most: MOST }),
            optional("retry_percent", PERCENT),
            optional("hedge_percent", PERCENT),
            optional("key_keep", Duration),
            optional("batch", Flag),
        ]),
    ),
    optional(
        "weights",
        Table(&[
            optional("tail_latency", Number),
            optional("evictions", Number),
            optional("throughput", Number),
        ]),
    ),
    optional(
        "placement",
        Table(&[
            optional("relief_above_percent", Count { least: 1, most: 10_000 }),
            optional("throttle_floor_percent", Count { least: 1, most: 100 }),
            optional("patience", Duration),
            optional("retry_pairing_after", Duration),
        ]),
    ),
    optional(
        "blame",
        Table(&[
            optional("job_workers", POSITIVE_COUNT),
            optional("worker_jobs", POSITIVE_COUNT),
            optional("probe_after", Duration),
        ]),
    ),
    optional(
        "lease",
        Table(&[
            optional("length", Duration),
            optional("heartbeat", Duration),
            optional("drift_permille", Count { least: 0, most: 500 }),
            optional("stop_margin", Duration),
        ]),
    ),
    optional("drain", Table(&[optional("requests", Duration), optional("tasks", Duration)])),
    optional(
        "retention",
        Table(&[
            optional("finished_jobs", POSITIVE_COUNT),
            optional("task_steps", POSITIVE_COUNT),
            optional("ledger_keys", POSITIVE_COUNT),
            optional("submissions", POSITIVE_COUNT),
            optional("events", POSITIVE_COUNT),
        ]),
    ),
];

const SELECTOR: &[KeyRule] = &[
    optional("service", Name),
    optional("team", Name),
    optional("class", Name),
    optional("data_centre", Name),
    optional("rack", Name),
    optional("worker", Name),
];

const EXCEPTION: &[KeyRule] = &[
    required("name", Name, "the name by which explanations refer to the exception"),
    required("reason", Text, "why this case differs from the rule"),
    required("owner", Text, "who is responsible for the exception"),
    optional("expires", Day),
    required("for", Table(SELECTOR), "the subjects that the exception applies to"),
    required("values", Table(POLICY), "the values that differ"),
];

const SERVICE: &[KeyRule] = &[
    required("team", Name, "the team responsible for the service"),
    optional("idempotent_methods", List(&Text)),
];

const TEAM: &[KeyRule] = &[
    required("quota", Table(RESOURCES), "the resources that the team's tasks may reserve at once"),
    optional("may_borrow", Flag),
];

/// A file of a folder of declarations.
pub(crate) const DECLARATION_FILE: &[KeyRule] = &[
    optional("defaults", Table(POLICY)),
    optional("services", ByName(SERVICE)),
    optional("teams", ByName(TEAM)),
    optional("exceptions", List(&Table(EXCEPTION))),
];

const FOUNDER: &[KeyRule] = &[
    required("replica", Count { least: 1, most: i64::MAX }, "the replica's id"),
    required("address", Address, "the address for the other replicas"),
];

const CONTROL: &[KeyRule] = &[
    required(
        "replica",
        Count { least: 1, most: i64::MAX },
        "a replica id never used with another disk",
    ),
    required("data_folder", Text, "the folder of the durable state"),
    optional("founders", List(&Table(FOUNDER))),
];

const ENTRY: &[KeyRule] = &[required("callers", Address, "the address for callers")];

const AGENT: &[KeyRule] = &[
    required("worker", Name, "the worker beside which the agent runs"),
    required("rack", Name, "the worker's rack"),
    required("capacity", Table(RESOURCES), "the resources that the worker offers to tasks"),
    required("platform", Address, "the address of the worker's platform"),
    required("announce", Address, "the address on which executors register"),
    optional("state_file", Text),
];

const STAND_IN: &[KeyRule] = &[
    required("platform", Address, "the address of the stand-in platform"),
    required("executor", Address, "the address of the stand-in executor"),
    required("announce_to", Address, "the agent's address for executors that register"),
    required("service", Name, "the service that the executor serves"),
    required("endpoint", Name, "the name of the endpoint"),
    required(
        "slots",
        POSITIVE_COUNT,
        "the number of requests that the executor serves concurrently",
    ),
    required(
        "connections",
        POSITIVE_COUNT,
        "the number of connections that the executor keeps open",
    ),
    required("service_time", Duration, "how long the executor takes for a request"),
];

const LOG: &[KeyRule] = &[
    optional("level", OneOf(&["error", "warn", "info", "debug", "trace"])),
    optional("file", Text),
];

/// The settings file of a process.
pub(crate) const SETTINGS_FILE: &[KeyRule] = &[
    required("cluster", Name, "the name of the cluster"),
    required("name", Name, "the name of this process"),
    required("region", Name, "the region in which the process runs"),
    required("data_centre", Name, "the data centre in which the process runs"),
    required("internal", Address, "the address for other processes, such as \"10.0.0.1:7100\""),
    required("operator", Address, "the address for operators"),
    required("control_peers", List(&Address), "internal addresses of the control group"),
    optional("log", Table(LOG)),
    optional("control", Table(CONTROL)),
    optional("entry", Table(ENTRY)),
    optional("agent", Table(AGENT)),
    optional("stand-in", Table(STAND_IN)),
];

const PLACEMENT: &[KeyRule] = &[
    optional("data_centres", List(&Name)),
    optional("most_per_rack", POSITIVE_COUNT),
    optional("most_per_data_centre", POSITIVE_COUNT),
];

/// A file that describes a job.
pub(crate) const JOB_FILE: &[KeyRule] = &[
    required("id", Name, "the job's name"),
    required("team", Name, "the team whose quota the job uses"),
    required("class", Name, "the class of the tasks"),
    optional("priority", OneOf(&["batch", "latency-critical", "urgent"])),
    optional("tasks", POSITIVE_COUNT),
    required("resources", Table(RESOURCES), "the resources of each task"),
    optional("run_time", Duration),
    optional("service", Name),
    optional("payload", Text),
    optional("placement", Table(PLACEMENT)),
];
