//! The text that `--help` prints. `docs/CLI.md` contains the same text; a test compares the two.

/// The usage text with all commands and options.
pub(crate) const HELP: &str = "\
mangoctl - operate a mangorouter fleet

USAGE
    mangoctl COMMAND [OPTIONS]

DECLARATIONS
    check FOLDER               report every error in a folder of declarations
    diff FOLDER                show what applying the folder would change, and for whom
    apply FOLDER               apply the folder to the whole fleet; asks for confirmation
    explain policy             show every value and the rule that set it
                               (--service, --team, --class, --data-centre, --rack, --worker,
                               --folder FOLDER to explain a folder that is not in force)

JOBS
    job submit FILE            submit the job of a TOML file
    job list                   list jobs with their tasks by phase
    job show JOB               show a job, its tasks and their history
    job cancel JOB             cancel a job and stop its tasks; asks for confirmation
    job unpark JOB             let a parked job be placed again
    explain task JOB/INDEX     explain why a task was placed on its worker, or why it waits

FLEET
    status                     workers, endpoints, processes, teams and the control group
    worker drain WORKER        move the tasks of a worker to others; asks for confirmation
    worker undrain WORKER      let a drained worker receive tasks again
    explain worker WORKER      explain why a worker receives tasks or none
    timeline                   show the events of all processes in causal order
                               (--where FIELD=TEXT, --last DURATION, --follow, --from FILE,
                               --save FILE, --html FILE)

CONTROL GROUP
    member add REPLICA ADDRESS add a replica without a vote under an id never used before
    member promote REPLICA     give a vote to a replica that has caught up
    member remove REPLICA      remove a replica permanently; asks for confirmation

OPTIONS
    --at ADDRESS[,ADDRESS]     operator addresses of control processes
                               (default: environment variable MANGOROUTER_OPERATOR)
    --json                     print JSON
    -y, --yes                  skip the confirmation
    --wait                     return once the effect is observed
    --wait-for DURATION        time limit of --wait (default 60s)
    --timeout DURATION         time limit of one call (default 10s)
    --submission ID            idempotency key, to resend a change after a lost answer
    --base REVISION            the revision that the folder is based on
    -h, --help                 print this help
    -V, --version              print the version

EXIT CODES
    0  success                 3  errors in a file
    1  refused                 4  no answer: the outcome is unknown or nothing was done
    2  invalid command line    5  timed out while waiting
";
