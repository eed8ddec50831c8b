//! The numbered commands to one worker.

use {
    base::{AttemptNumber, IncarnationNumber, TaskId, TermNumber},
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
    /// The last command about each attempt that holds the worker.
    issued: IndexMap<(TaskId, AttemptNumber), u64>,
    /// The life that was last told to run each attempt, which knows it ever since.
    told: IndexMap<(TaskId, AttemptNumber), IncarnationNumber>,
}

impl CommandStream {
    /// An empty stream. Its first command has number 2, so that a worker that has heard nothing of
    /// the term can't be taken for one that has heard all.
    pub fn new(term: TermNumber) -> Self {
        Self {
            term,
            sequence: 1,
            commands: VecDeque::new(),
            issued: IndexMap::new(),
            told: IndexMap::new(),
        }
    }

    /// Where the stream ends.
    pub fn cursor(&self) -> CommandCursor {
        CommandCursor { term: self.term, sequence: self.sequence }
    }

    /// Appends a command about an attempt.
    pub fn push(&mut self, task: &TaskId, attempt: AttemptNumber, command: TaskCommand) {
        self.sequence += 1;
        self.commands.push_back((self.sequence, command));
        self.issued.insert((task.clone(), attempt), self.sequence);
        if self.commands.len() > COMMANDS_LIMIT {
            self.commands.pop_front();
        }
    }

    /// Forgets an attempt that does not hold the worker any more, and the commands about it.
    pub fn forget(&mut self, task: &TaskId, attempt: AttemptNumber) {
        let id = (task.clone(), attempt);
        self.issued.swap_remove(&id);
        self.told.swap_remove(&id);
    }

    /// Drops every command: the worker's lease has expired, and what it was to be told of does not
    /// hold any more. Whatever its cursor is, it is told everything when it comes back.
    pub fn restart(&mut self) {
        self.sequence += 1;
        self.commands.clear();
        self.issued.clear();
        self.told.clear();
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

    /// Notes that a life of the worker has been told to run an attempt.
    pub fn note_told(&mut self, task: &TaskId, attempt: AttemptNumber, life: IncarnationNumber) {
        self.told.insert((task.clone(), attempt), life);
    }

    /// True when the attempt was told to another life of the worker. This one is not told to run it
    /// again: it either found it running and names it, or the attempt is gone.
    pub fn belongs_to_other(
        &self,
        life: IncarnationNumber,
        task: &TaskId,
        attempt: AttemptNumber,
    ) -> bool {
        let told = self.told.get(&(task.clone(), attempt));
        told.is_some_and(|told| *told != life)
    }

    /// True when a life of the worker that does not name the attempt, although it names all that it
    /// knows of, proves that the attempt neither runs there nor will. A life that was told to run
    /// it may be about to start it, which can't be named.
    pub fn proves_absence(
        &self,
        life: IncarnationNumber,
        cursor: CommandCursor,
        task: &TaskId,
        attempt: AttemptNumber,
    ) -> bool {
        let id = (task.clone(), attempt);
        match self.told.get(&id) {
            Some(told) => *told != life,
            None => {
                let issued = self.issued.get(&id).copied().unwrap_or(0);
                cursor.term == self.term && cursor.sequence > 0 && cursor.sequence >= issued
            }
        }
    }
}
