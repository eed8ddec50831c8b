//! The numbered stream of commands to one worker.

use {
    base::{AttemptNumber, IncarnationNumber, TaskId, TermNumber},
    indexmap::IndexMap,
    proto::messages::{CommandCursor, TaskCommand},
    std::collections::VecDeque,
};

/// Upper bound on the commands buffered for a worker that does not answer. A worker that has missed
/// more gets the complete list instead.
const COMMANDS_LIMIT: usize = 4096;

/// The commands that a worker has not received yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamReply {
    /// The commands after its cursor.
    Delta(Vec<TaskCommand>),
    /// The worker's cursor does not belong to this term's stream or is too old, so the worker has
    /// to receive the complete list.
    Everything,
}

/// The commands of one term to one worker.
#[derive(Debug)]
pub struct CommandStream {
    term: TermNumber,
    sequence: u64,
    commands: VecDeque<(u64, TaskCommand)>,
    /// The number of the last command for each attempt on the worker.
    issued: IndexMap<(TaskId, AttemptNumber), u64>,
    /// The incarnation that was last sent each attempt or last reported it, and that may know the
    /// attempt from then on.
    sent_to: IndexMap<(TaskId, AttemptNumber), IncarnationNumber>,
}

impl CommandStream {
    /// Returns an empty stream. Its first command has number 2, so that a worker that has received
    /// nothing in this term is not mistaken for one that is up to date.
    pub fn new(term: TermNumber) -> Self {
        Self {
            term,
            sequence: 1,
            commands: VecDeque::new(),
            issued: IndexMap::new(),
            sent_to: IndexMap::new(),
        }
    }

    /// Returns the cursor at the end of the stream.
    pub fn cursor(&self) -> CommandCursor {
        CommandCursor { term: self.term, sequence: self.sequence }
    }

    /// Appends a command for an attempt.
    pub fn push(&mut self, task: &TaskId, attempt: AttemptNumber, command: TaskCommand) {
        self.sequence += 1;
        self.commands.push_back((self.sequence, command));
        self.issued.insert((task.clone(), attempt), self.sequence);
        if self.commands.len() > COMMANDS_LIMIT {
            self.commands.pop_front();
        }
    }

    /// Removes an attempt that no longer holds a reservation on the worker.
    pub fn forget(&mut self, task: &TaskId, attempt: AttemptNumber) {
        let id = (task.clone(), attempt);
        self.issued.swap_remove(&id);
        self.sent_to.swap_remove(&id);
    }

    /// Drops all commands, because the worker's lease has expired and its attempts no longer apply.
    /// The worker receives the complete list when it returns, whatever its cursor.
    pub fn restart(&mut self) {
        self.sequence += 1;
        self.commands.clear();
        self.issued.clear();
        self.sent_to.clear();
    }

    /// Returns the commands after a worker's cursor, and drops the earlier ones.
    pub fn after(&mut self, cursor: CommandCursor) -> StreamReply {
        if cursor.term != self.term || cursor.sequence == 0 || cursor.sequence > self.sequence {
            return StreamReply::Everything;
        }
        while self.commands.front().is_some_and(|(number, _)| *number <= cursor.sequence) {
            self.commands.pop_front();
        }
        let first = self.commands.front().map_or(self.sequence + 1, |(number, _)| *number);
        if first != cursor.sequence + 1 {
            return StreamReply::Everything;
        }
        StreamReply::Delta(self.commands.iter().map(|(_, command)| command.clone()).collect())
    }

    /// Records that an incarnation of the worker was sent an attempt to run.
    pub fn note_sent(
        &mut self,
        task: &TaskId,
        attempt: AttemptNumber,
        incarnation: IncarnationNumber,
    ) {
        self.sent_to.insert((task.clone(), attempt), incarnation);
    }

    /// Returns true if the attempt was sent to another incarnation of the worker. This incarnation
    /// does not receive the attempt again: either it found the attempt running and reports it, or
    /// the attempt is gone.
    pub fn was_sent_to_other(
        &self,
        incarnation: IncarnationNumber,
        task: &TaskId,
        attempt: AttemptNumber,
    ) -> bool {
        let sent_to = self.sent_to.get(&(task.clone(), attempt));
        sent_to.is_some_and(|sent_to| *sent_to != incarnation)
    }

    /// Returns true if a complete report that does not name the attempt proves that the attempt
    /// neither runs nor will run on the worker. It proves nothing for an incarnation that was sent
    /// the attempt, which may be about to start it and can't report it yet.
    pub fn proves_absence(
        &self,
        incarnation: IncarnationNumber,
        cursor: CommandCursor,
        task: &TaskId,
        attempt: AttemptNumber,
    ) -> bool {
        let id = (task.clone(), attempt);
        match self.sent_to.get(&id) {
            Some(sent_to) => *sent_to != incarnation,
            None => {
                let issued = self.issued.get(&id).copied().unwrap_or(0);
                cursor.term == self.term && cursor.sequence > 0 && cursor.sequence >= issued
            }
        }
    }
}
