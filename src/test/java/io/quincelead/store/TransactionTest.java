package io.quincelead.store;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.transport.WireFormat;
import org.junit.jupiter.api.Test;

class TransactionTest {
    /**
     * Merged, the newer precondition replaced the older one: a completion by evidence was applied
     * though its machine had got a new owner since.
     */
    @Test
    void transactionsRequiringDifferentRevisionsConflict() {
        Transaction older = new Transaction().requireRevision("a/b/x", 7).remove("a/j/1");
        Transaction newer = new Transaction().requireRevision("a/b/x", 8).remove("a/j/2");
        assertTrue(older.conflictsWith(newer));
        assertTrue(newer.conflictsWith(older));
        assertFalse(
                older.conflictsWith(
                        new Transaction()
                                .requireRevision("a/b/x", 7)
                                .put("a/j/3", WireFormat.newMap())));
    }
}
