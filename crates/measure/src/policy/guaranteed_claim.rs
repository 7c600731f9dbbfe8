//! Whether a customer's open jobs fit into its guaranteed blocks of a zone. Only
//! then does a new job have a claim on capacity within the reclaim bound.

/// Whether gangs of these sizes fit into blocks of these sizes, largest first.
pub(super) fn fits_blocks(blocks: &[u32], gangs: &[u32]) -> bool {
    let mut free = blocks.to_vec();
    let mut gangs = gangs.to_vec();
    gangs.sort_unstable_by(|a, b| b.cmp(a));
    gangs.into_iter().all(|gang| place(&mut free, gang))
}

/// Takes a gang out of the smallest block that holds it.
fn place(free: &mut [u32], gang: u32) -> bool {
    let holding = free.iter_mut().filter(|left| **left >= gang);
    match holding.min() {
        Some(left) => {
            *left -= gang;
            true
        }
        None => false,
    }
}
