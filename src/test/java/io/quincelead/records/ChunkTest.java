package io.quincelead.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.net.Codec;
import io.quincelead.world.Jobs;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ChunkTest {
    private static List<String> texts(Chunk c) {
        return c.placed.stream().map(p -> p.index + " " + p.host + " " + p.attempt + " " + p.stop).toList();
    }

    /** Only what has changed of a record is read; what comes of it must be what reading all of it gives. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void whatIsReadOfAChangeIsWhatTheWholeRecordSays(long seed) {
        SplittableRandom r = new SplittableRandom(seed);
        Job job = new Job(Jobs.array(1, "red", JobSpec.Urgency.NORMAL, 430, 1, 10));
        for (int number = 0; number < 3; number++) {
            Chunk now = Chunk.decode(job, number, Codec.map().put("p", ""), null, 0);
            for (int change = 0; change < 400; change++) {
                Chunk.Edit e = now.edit();
                for (int k = r.nextInt(8); k >= 0; k--) {
                    int i = now.first() + r.nextInt(now.size());
                    switch (r.nextInt(5)) {
                        case 0 -> e.gone(i);
                        case 1 -> e.stop(i);
                        case 2 -> e.done(i);
                        default -> e.place(i, "i-00000" + r.nextInt(120), 1 + r.nextInt(12));
                    }
                }
                ObjectNode record = e.encode();
                Chunk next = Chunk.decode(job, number, record, now, 0);
                Chunk whole = Chunk.decode(job, number, record, null, 0);
                assertEquals(texts(whole), texts(next));
                assertEquals(whole.placed.size(), next.placed.size());
                for (Placement p : next.placed) {
                    Placement before = now.placed.get(p.index);
                    if (before != null && before.same(p.index, p.host, p.attempt) && before.stop == p.stop) {
                        assertSame(before, p, "a place that hasn't changed stays what is known of it");
                    }
                }
                now = next;
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"0 i-1 1", "0 i-1;", "x i-1 1;", "0 i-1 y;", "200 i-1 1;", "-1 i-1 1;", "0  1;0", ";"})
    void placesThatCantBeReadAreAnError(String places) {
        Job job = new Job(Jobs.array(1, "red", JobSpec.Urgency.NORMAL, 430, 1, 10));
        Chunk before = Chunk.decode(job, 0, Codec.map().put("p", "0 i-1 1;3 i-2 1;"), null, 0);
        for (Chunk b : new Chunk[] {null, before}) {
            RuntimeException e = assertThrows(RuntimeException.class, () -> Chunk.decode(job, 0, Codec.map().put("p", places), b, 0));
            assertEquals(true, e instanceof IndexOutOfBoundsException || e instanceof NumberFormatException, e.toString());
        }
    }
}
