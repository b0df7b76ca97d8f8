package org.sardinelift.core.resume;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.plan.SoftwareVersion;
import org.sardinelift.core.resume.StreamOrigins.Origin;

class StreamOriginsTest {
    private static final SoftwareVersion V1 = new SoftwareVersion("llm", "v1");
    private static final SoftwareVersion V2 = new SoftwareVersion("llm", "v2");

    private final StreamOrigins origins = StreamOrigins.create(Duration.ofNanos(100), 3);

    @Test
    void aStreamIsKnownForItsLifetime() {
        origins.put(new Origin(7, V1, 1), "a", 0);

        assertEquals(Optional.of(V1), origins.find(7, 99));
        assertEquals(Optional.empty(), origins.find(7, 100));
        assertEquals(Optional.empty(), origins.find(8, 0));
    }

    @Test
    void aLaterSendOfTheInstanceReplacesAnEarlierOneInAnyOrder() {
        origins.put(new Origin(7, V2, 2), "a", 0);
        origins.put(new Origin(7, V1, 1), "a", 1);

        assertEquals(Optional.of(V2), origins.find(7, 2));
    }

    @Test
    void aStreamThatTwoInstancesBeganAtTwoVersionsIsNotKnown() {
        origins.put(new Origin(7, V1, 1), "a", 0);
        origins.put(new Origin(7, V1, 1), "b", 1);
        assertEquals(Optional.of(V1), origins.find(7, 2));

        origins.put(new Origin(7, V2, 1), "c", 3);
        assertEquals(Optional.empty(), origins.find(7, 4));
        origins.put(new Origin(7, V2, 2), "c", 5);
        assertEquals(Optional.empty(), origins.find(7, 6));
    }

    @Test
    void theOldestStreamsAreDroppedBeyondTheBound() {
        for (int stream = 1; stream <= 4; stream++) {
            origins.put(new Origin(stream, V1, 1), "a", stream);
        }

        assertEquals(3, origins.size());
        assertEquals(1, origins.droppedCount());
        assertEquals(Optional.empty(), origins.find(1, 5));
        assertEquals(Optional.of(V1), origins.find(4, 5));
    }

    @Test
    void streamsThatBeganLatelyAreListed() {
        origins.put(new Origin(1, V1, 1), "a", 0);
        origins.put(new Origin(2, V2, 1), "a", 30);

        assertEquals(1, origins.begunWithin(Duration.ofNanos(20), 40).count());
    }
}
