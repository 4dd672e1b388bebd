package io.quincelead.store;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.transport.WireFormat;
import org.junit.jupiter.api.Test;

class TransactionTest {
    /**
     * When transactions that require different revisions of a key were merged, the newer
     * precondition replaced the older one: a completion based on evidence was applied although the
     * machine had been granted to a new owner since.
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
