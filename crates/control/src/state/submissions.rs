//! The first replies to operators' submissions, so that a resend gets the same reply.

use {
    base::SubmissionId,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

/// A digest of the submitted content, which distinguishes a resend from a reuse of the id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ContentDigest([u8; 16]);

impl ContentDigest {
    /// Returns the digest of a value's encoding.
    pub fn of(content: &impl Serialize) -> Self {
        let bytes = rmp_serde::to_vec(content).unwrap_or_default();
        let mut digest = [0; 16];
        digest.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..16]);
        Self(digest)
    }
}

/// How a submission compares with the retained ones.
#[derive(Debug, PartialEq, Eq)]
pub enum SubmissionMatch<'a, R> {
    /// The id is unknown: it is new, or its reply is no longer retained.
    New,
    /// The submission is a resend; this was the first reply.
    Resent(&'a R),
    /// The id was used with other content.
    Reused,
}

/// The most recent submissions with their first replies.
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
    /// Looks up a submission id.
    pub fn find(&self, submission: &SubmissionId, digest: ContentDigest) -> SubmissionMatch<'_, R> {
        match self.answers.get(submission) {
            None => SubmissionMatch::New,
            Some((first, answer)) if *first == digest => SubmissionMatch::Resent(answer),
            Some(_) => SubmissionMatch::Reused,
        }
    }

    /// Stores a first reply, and drops the oldest replies beyond `bound`.
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
