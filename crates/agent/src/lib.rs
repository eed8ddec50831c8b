//! The agent role: guards the endpoints and tasks of one worker.
