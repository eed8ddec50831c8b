//! Maps class names to small indices, so that tables of class pairs are dense.

use {base::ClassName, indexmap::IndexSet};

/// The number of class indices. The last one is shared by all classes that arrive once the others
/// are assigned, which bounds the memory that a stream of new names can take.
pub(crate) const CLASS_LIMIT: usize = 128;

/// The index of a class within one model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ClassIndex(pub(crate) u16);

impl ClassIndex {
    /// The index that all classes beyond the limit share.
    pub(crate) const LAST: Self = Self(CLASS_LIMIT as u16 - 1);
}

/// Assigns indices to classes.
#[derive(Debug, Default)]
pub(crate) struct ClassIndexer {
    names: IndexSet<ClassName>,
}

impl ClassIndexer {
    /// Returns the index of `name`, and assigns one to a new name.
    pub(crate) fn index(&mut self, name: &ClassName) -> ClassIndex {
        let index = match self.names.get_index_of(name) {
            Some(index) => index,
            None if self.names.len() < CLASS_LIMIT - 1 => self.names.insert_full(name.clone()).0,
            None => return ClassIndex::LAST,
        };
        ClassIndex(index as u16)
    }
}
