//! First answers to operators' submissions.

use {
    base::SubmissionId,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

/// A digest of what was submitted, which tells a resend from another use of the id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ContentDigest([u8; 16]);

impl ContentDigest {
    /// The digest of a value's encoding.
    pub fn of(content: &impl Serialize) -> Self {
        let bytes = rmp_serde::to_vec(content).unwrap_or_default();
        let mut digest = [0; 16];
        digest.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..16]);
        Self(digest)
    }
}

/// What is known of a submission id.
#[derive(Debug, PartialEq, Eq)]
pub enum SubmissionMatch<'a, R> {
    /// It was never seen, or so long ago that it is forgotten.
    New,
    /// It is a resend, and this was the first answer.
    Resent(&'a R),
    /// It was used with other content.
    Reused,
}

/// The newest submissions with their first answers.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SubmissionLog<R> {
    answers: IndexMap<SubmissionId, (ContentDigest, R)>,
}

impl<R> Default for SubmissionLog<R> {
    fn default() -> Self {
        Self { answers: IndexMap::new() }
    }
}

impl<R> SubmissionLog<R> {
    /// Looks an id up.
    pub fn find(&self, submission: &SubmissionId, digest: ContentDigest) -> SubmissionMatch<'_, R> {
        match self.answers.get(submission) {
            None => SubmissionMatch::New,
            Some((first, answer)) if *first == digest => SubmissionMatch::Resent(answer),
            Some(_) => SubmissionMatch::Reused,
        }
    }

    /// Keeps a first answer, and no more than `bound` of them.
    pub fn keep(
        &mut self,
        submission: SubmissionId,
        digest: ContentDigest,
        answer: R,
        bound: usize,
    ) {
        self.answers.insert(submission, (digest, answer));
        let excess = self.answers.len().saturating_sub(bound.max(1));
        self.answers.drain(..excess);
    }
}
