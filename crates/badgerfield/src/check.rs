//! `badgerfield check`.

use std::path::PathBuf;

use anyhow::{Result, bail};
use badgerfield_node::ini_file::IniError;
use badgerfield_node::settings::Settings;
use badgerfield_node::templates;
use clap::ArgMatches;

use crate::{DONE, FAULTY};

pub(crate) fn run(args: &ArgMatches) -> Result<u8> {
    let settings_file: Option<&PathBuf> = args.get_one("settings");
    let templates_file: Option<&PathBuf> = args.get_one("templates");
    if settings_file.is_none() && templates_file.is_none() {
        bail!("expected --settings FILE or --templates FILE, found neither");
    }
    let mut code = DONE;
    if let Some(path) = settings_file {
        code = code.max(print_result(path, Settings::load(path).map(|_| ())));
    }
    if let Some(path) = templates_file {
        code = code.max(print_result(path, templates::load(path).map(|_| ())));
    }
    Ok(code)
}

fn print_result(path: &std::path::Path, result: Result<(), IniError>) -> u8 {
    match result {
        Ok(()) => {
            println!("{}: no faults", path.display());
            DONE
        }
        Err(error) => {
            eprintln!("{error}");
            FAULTY
        }
    }
}
