package io.quincelead.state;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.net.Codec;
import org.junit.jupiter.api.Test;

class TxnTest {
    /** Merged, the newer guard took the older one's place: an end by evidence landed though its machine had changed hands since. */
    @Test void transactionsRequiringDifferentRevisionsConflict() {
        Txn older = new Txn().requireRevision("a/b/x", 7).remove("a/j/1");
        Txn newer = new Txn().requireRevision("a/b/x", 8).remove("a/j/2");
        assertTrue(older.conflictsWith(newer));
        assertTrue(newer.conflictsWith(older));
        assertFalse(older.conflictsWith(new Txn().requireRevision("a/b/x", 7).put("a/j/3", Codec.newMap())));
    }
}
