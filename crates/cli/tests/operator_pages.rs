//! The documentation agrees with the code in settings keys, commands and counters, and
//! its links resolve.

use std::fs;
use std::path::{Path, PathBuf};

use flamingowalk_cli::command::command_options;
use flamingowalk_core::version::{FolderFile, check_folder, merge_folder};
use flamingowalk_node::process::host_settings::KNOWN_KEYS;

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read_page(name: &str) -> String {
    let path = repository().join("docs/operators").join(name);
    fs::read_to_string(path).expect("the page")
}

/// Returns the cells of the rows of a page's tables, without the header rows.
fn table_rows(text: &str) -> Vec<Vec<String>> {
    let rows = text
        .lines()
        .filter(|line| line.starts_with("| ") && !line.contains("---"));
    let cells = |line: &str| {
        line.trim_matches('|')
            .split('|')
            .map(|c| c.trim().to_owned())
            .collect()
    };
    rows.map(cells)
        .filter(|row: &Vec<String>| row[0] != "section")
        .collect()
}

fn collect_pages(folder: &Path, pages: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_pages(&path, pages);
        } else if path.extension().is_some_and(|extension| extension == "md") {
            pages.push(path);
        }
    }
}

#[test]
fn domain_settings_page_lists_every_key() {
    let rows = table_rows(&read_page("domain-settings.md"));
    let documented: Vec<_> = rows
        .iter()
        .map(|row| (row[0].as_str(), row[1].as_str(), row[2].as_str()))
        .collect();
    let known: Vec<_> = flamingowalk_domain_node::settings::KNOWN_KEYS
        .iter()
        .map(|key| (key.section, key.key, key.default.unwrap_or("")))
        .collect();
    assert_eq!(documented, known);
}

#[test]
fn settings_page_lists_every_key() {
    let rows = table_rows(&read_page("settings.md"));
    let documented: Vec<_> = rows
        .iter()
        .map(|row| (row[0].as_str(), row[1].as_str(), row[2].as_str()))
        .collect();
    let known: Vec<_> = KNOWN_KEYS
        .iter()
        .map(|key| (key.section, key.key, key.default.unwrap_or("")))
        .collect();
    assert_eq!(documented, known);
}

#[test]
fn folder_page_agrees_with_check() {
    for row in table_rows(&read_page("folder.md")) {
        let section = row[0]
            .replace("CUSTOMER NAME", "c n")
            .replace("NAME", "c")
            .replace("CLASS", "c");
        let text = format!("[{section}]\n{} = \n", row[1]);
        let file = FolderFile {
            name: "f.ini".to_owned(),
            text,
        };
        let errors = merge_folder(&[file]).and_then(|merged| check_folder(&merged).map(|_| ()));
        let errors = errors
            .err()
            .map(|errors| errors.to_string())
            .unwrap_or_default();
        assert!(
            !errors.contains("unknown key"),
            "{section} {}: {errors}",
            row[1]
        );
        let text = format!("[{section}]\nregion = r\n");
        let file = FolderFile {
            name: "f.ini".to_owned(),
            text,
        };
        let merged = merge_folder(&[file]).expect("readable");
        let missing = check_folder(&merged)
            .expect_err("keys are missing")
            .to_string();
        let is_required = missing.contains(&format!("[{section}] {}:", row[1]));
        let is_optional = !row[2].is_empty() || row[1] == "region";
        assert_eq!(is_required, !is_optional, "{section} {}: {missing}", row[1]);
    }
}

#[test]
fn links_resolve() {
    let mut pages = Vec::new();
    collect_pages(&repository().join("docs"), &mut pages);
    pages.push(repository().join("README.md"));
    for path in pages {
        let text = fs::read_to_string(&path).expect("the page");
        for link in text
            .split("](")
            .skip(1)
            .filter_map(|rest| rest.split(')').next())
        {
            let target = link.split('#').next().unwrap_or_default();
            if target.starts_with("http") || target.is_empty() {
                continue;
            }
            let full = path.parent().expect("a folder").join(target);
            assert!(full.exists(), "{}: {link}", path.display());
        }
    }
}

#[test]
fn commands_exist() {
    let mut pages = Vec::new();
    collect_pages(&repository().join("docs/operators"), &mut pages);
    for path in pages {
        let text = fs::read_to_string(&path).expect("the page");
        for rest in text.split("flamingowalk ").skip(1) {
            let verb = rest.split([' ', '\n', '`', ':']).next().unwrap_or_default();
            if verb.is_empty() || verb.starts_with('-') {
                continue;
            }
            let arguments = [verb, "--help"];
            let help = command_options().run_inner(arguments.as_slice());
            let failure = help.expect_err("help ends the run");
            let is_help = matches!(failure, bpaf::ParseFailure::Stdout(..));
            assert!(is_help, "{}: there is no command {verb:?}", path.display());
        }
    }
}

#[test]
fn counters_exist() {
    let source = fs::read_to_string(repository().join("crates/node/src/process/counters.rs"));
    let source = source.expect("the counters");
    for rest in read_page("dump.md").split("`flamingowalk_").skip(1) {
        let name = rest.split(['{', '`']).next().unwrap_or_default();
        assert!(
            source.contains(&format!("\"flamingowalk_{name}\"")),
            "no counter {name}"
        );
    }
    for line in source.lines().filter(|line| line.starts_with("pub const")) {
        let name = line.split('"').nth(1).unwrap_or_default();
        assert!(
            read_page("dump.md").contains(name),
            "{name} is not on the page"
        );
    }
}
