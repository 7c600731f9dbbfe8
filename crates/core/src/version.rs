//! State that lives as long as one configuration version: the settings merged from
//! the operator folder.

pub mod capacity_check;
pub mod folder_check;
pub mod folder_error;
pub mod folder_text;
pub mod merged_folder;
pub mod section_reader;
pub mod settings;

pub use folder_check::{check_folder, parse_canonical};
pub use folder_error::{FolderError, FolderErrors};
pub use merged_folder::{FolderFile, MergedFolder, content_hash, merge_folder};
