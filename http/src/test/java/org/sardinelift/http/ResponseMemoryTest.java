package org.sardinelift.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against responses that fill the memory together, though each keeps its own bound. */
class ResponseMemoryTest {
    private static final long MAX_BYTES = 1_000;

    private final ResponseMemory memory = ResponseMemory.ofBytes(MAX_BYTES);

    private final class FakeResponse implements ResponseMemory.Holder {
        private long bytes;
        private boolean isEvicted;

        void receive(long part) {
            if (!isEvicted) {
                bytes += part;
                memory.onChanged(this);
            }
        }

        @Override
        public long heldBytes() {
            return bytes;
        }

        @Override
        public void evict(String reason) {
            isEvicted = true;
            bytes = 0;
            memory.onEnded(this);
        }
    }

    private List<FakeResponse> responses(int count) {
        return IntStream.range(0, count).mapToObj(i -> new FakeResponse()).toList();
    }

    @Test
    void theLargestResponseIsEvictedAndNotTheOneThatExceedsTheBound() {
        FakeResponse large = new FakeResponse();
        FakeResponse small = new FakeResponse();
        large.receive(900);
        small.receive(90);

        small.receive(20);

        assertTrue(large.isEvicted);
        assertEquals(110, memory.totalBytes());
        assertEquals(1, memory.evictionCount());
    }

    @Test
    void aSmallResponseIsCompletedBesideOnesWithoutEnd() {
        FakeResponse small = new FakeResponse();
        List<FakeResponse> endless = responses(24);
        for (int i = 0; i < 50; i++) {
            endless.forEach(each -> each.receive(20));
            small.receive(1);
        }

        assertEquals(50, small.heldBytes());
        assertTrue(endless.stream().anyMatch(each -> each.isEvicted));
    }

    @Test
    void theBytesHeldNeverExceedTheBound() {
        Random random = new Random(7);
        List<FakeResponse> all = responses(40);
        for (int i = 0; i < 5_000; i++) {
            all.get(random.nextInt(all.size())).receive(random.nextInt(200));
            long held = all.stream().mapToLong(FakeResponse::heldBytes).sum();
            assertTrue(held <= MAX_BYTES, held + " bytes held");
            assertEquals(held, memory.totalBytes());
        }
    }

    /** Its caller has read in the meantime, which no part of the response shows. */
    @Test
    void aResponseThatHoldsLessByNowIsNotEvicted() {
        FakeResponse read = new FakeResponse();
        read.receive(900);
        read.bytes = 0;

        new FakeResponse().receive(200);

        assertEquals(200, memory.totalBytes());
        assertEquals(0, memory.evictionCount());
    }

    @Test
    void anEndedResponseHoldsNothing() {
        FakeResponse response = new FakeResponse();
        response.receive(500);

        memory.onEnded(response);

        assertEquals(0, memory.totalBytes());
    }
}
