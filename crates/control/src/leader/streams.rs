//! The numbered commands to one worker.

use {
    base::{AttemptNumber, TaskId, TermNumber},
    indexmap::IndexMap,
    proto::messages::{CommandCursor, TaskCommand},
    std::collections::VecDeque,
};

/// Commands that are kept for a worker that does not answer. One that has missed more gets all
/// that is to be on it instead.
const COMMANDS_LIMIT: usize = 4096;

/// What a worker is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamReply {
    /// The commands after its cursor.
    Delta(Vec<TaskCommand>),
    /// Its cursor is of another term or too old: it is to be told everything.
    Everything,
}

/// The commands of one term to one worker.
#[derive(Debug)]
pub struct CommandStream {
    term: TermNumber,
    sequence: u64,
    commands: VecDeque<(u64, TaskCommand)>,
    issued: IndexMap<(TaskId, AttemptNumber), u64>,
}

impl CommandStream {
    /// An empty stream. Its first command has number 2, so that a worker that has heard nothing of
    /// the term can't be taken for one that has heard all.
    pub fn new(term: TermNumber) -> Self {
        Self { term, sequence: 1, commands: VecDeque::new(), issued: IndexMap::new() }
    }

    /// Where the stream ends.
    pub fn cursor(&self) -> CommandCursor {
        CommandCursor { term: self.term, sequence: self.sequence }
    }

    /// Appends a command about an attempt.
    pub fn push(&mut self, task: &TaskId, attempt: AttemptNumber, command: TaskCommand) {
        self.sequence += 1;
        self.commands.push_back((self.sequence, command));
        self.issued.entry((task.clone(), attempt)).or_insert(self.sequence);
        if self.commands.len() > COMMANDS_LIMIT {
            self.commands.pop_front();
        }
    }

    /// Forgets an attempt that does not hold the worker any more, and the commands about it.
    pub fn forget(&mut self, task: &TaskId, attempt: AttemptNumber) {
        self.issued.swap_remove(&(task.clone(), attempt));
    }

    /// Drops every command: the worker's lease has expired, and what it was to be told of does not
    /// hold any more. Whatever its cursor is, it is told everything when it comes back.
    pub fn restart(&mut self) {
        self.sequence += 1;
        self.commands.clear();
        self.issued.clear();
    }

    /// What a worker with this cursor is to be told.
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

    /// True when a worker with this cursor has been told of the attempt.
    pub fn has_been_told(
        &self,
        cursor: CommandCursor,
        task: &TaskId,
        attempt: AttemptNumber,
    ) -> bool {
        let issued = self.issued.get(&(task.clone(), attempt)).copied().unwrap_or(0);
        cursor.term == self.term && cursor.sequence > 0 && cursor.sequence >= issued
    }
}
