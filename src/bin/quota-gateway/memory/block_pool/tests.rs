use super::*;

fn map(pool: &mut BlockPool, count: usize) -> Vec<MmapMut> {
    (0..count).map(|_| pool.map().unwrap()).collect()
}

fn put_back(pool: &mut BlockPool, blocks: Vec<MmapMut>) {
    for block in blocks {
        pool.put_back(block);
    }
}

#[test]
fn blocks_are_used_again() {
    let mut pool = BlockPool::default();
    assert!(pool.take_free().is_none());
    let blocks = map(&mut pool, 3);
    assert!(blocks.iter().all(|block| block.len() == BLOCK_BYTES));
    assert_eq!((pool.used_bytes(), pool.free_bytes()), (3 * BLOCK_BYTES, 0));
    put_back(&mut pool, blocks);
    assert_eq!((pool.used_bytes(), pool.free_bytes()), (0, 3 * BLOCK_BYTES));
    assert!(pool.take_free().is_some());
    assert_eq!(pool.bytes(), 3 * BLOCK_BYTES);
}

/// Guards against blocks that are kept after a burst, and take the room of other memory.
#[test]
fn free_blocks_are_returned_to_the_system() {
    let mut pool = BlockPool::default();
    let blocks = map(&mut pool, 100);
    put_back(&mut pool, blocks);
    pool.release(BLOCK_BYTES + 1);
    assert_eq!(pool.bytes(), 98 * BLOCK_BYTES);
    pool.release_idle();
    assert_eq!(pool.bytes(), MAX_IDLE_BLOCKS * BLOCK_BYTES);
    pool.release(usize::MAX);
    assert_eq!(pool.bytes(), 0);
}
