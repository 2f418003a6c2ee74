//! `badgerfield key`.

use anyhow::Result;
use badgerfield_core::template::KeyDigest;
use clap::ArgMatches;

use crate::DONE;

pub(crate) fn run(args: &ArgMatches) -> Result<u8> {
    if let Some(key) = args.get_one::<String>("digest") {
        println!("{}", KeyDigest::from_secret(key));
        return Ok(DONE);
    }
    let secret = random_secret()?;
    if args.get_flag("fleet") {
        println!("{secret}");
        return Ok(DONE);
    }
    let key = format!("bf-{secret}");
    println!("key    {key}");
    println!("digest {}", KeyDigest::from_secret(&key));
    Ok(DONE)
}

fn random_secret() -> Result<KeyDigest> {
    let mut bytes = [0; 32];
    getrandom::fill(&mut bytes)?;
    Ok(KeyDigest(bytes))
}
