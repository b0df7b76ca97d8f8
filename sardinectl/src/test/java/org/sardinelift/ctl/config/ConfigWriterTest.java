package org.sardinelift.ctl.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.catalog.ConfigKind;
import org.sardinelift.core.catalog.ConfigRef;
import org.sardinelift.ctl.Json;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.testkit.FakeObjectStore;

/**
 * Writes with concurrent operators, lost answers and lost writes: a change of another operator must
 * not be overwritten, and the reported outcome must agree with the stored object.
 */
final class ConfigWriterTest {
    private static final ConfigRef TEAM = new ConfigRef(ConfigKind.TEAM, "patrol");
    private static final ObjectKey KEY = new ObjectKey("team", "patrol");

    private final FakeObjectStore store = new FakeObjectStore();
    private final AtomicInteger marks = new AtomicInteger();
    private final ConfigWriter writer =
            ConfigWriter.of(store, () -> "mark-" + marks.incrementAndGet());

    enum Fault {
        NONE,
        ANSWER_LOST,
        WRITE_LOST,
        DOWN
    }

    @Test
    void ofTwoConcurrentWritesOneSucceedsAndTheOtherGetsTheDifference() {
        writer.write(entry(10), Optional.empty());
        Optional<StoredObject> read = stored();
        assertInstanceOf(WriteOutcome.Written.class, writer.write(entry(20), read));
        WriteOutcome.Conflict conflict =
                assertInstanceOf(WriteOutcome.Conflict.class, writer.write(entry(30), read));
        assertEquals(List.of(1L, 2L), List.of(conflict.expected(), conflict.actual()));
        assertEquals("burst: 10 -> 20", conflict.diff().toString());
        assertEquals(20, burst());
    }

    @Test
    void aWriteWhoseAnswerWasLostIsRecognisedByItsMarkAndNotRepeated() {
        store.loseAnswers(1);
        assertInstanceOf(WriteOutcome.Written.class, writer.write(entry(10), Optional.empty()));
        assertEquals(1, store.revision());
    }

    @Test
    void aRepeatedApplyChangesNothing() {
        writer.write(entry(10), Optional.empty());
        assertInstanceOf(WriteOutcome.Unchanged.class, writer.write(entry(10), stored()));
        assertEquals(1, store.revision());
    }

    @Test
    void anEntryWithAnOlderVersionIsNotWritten() {
        writer.write(entry(10), Optional.empty());
        writer.write(entry(20), stored());
        ConfigEntry old = new ConfigEntry(TEAM, OptionalLong.of(1), false, entry(30).value());
        WriteOutcome.Conflict conflict =
                assertInstanceOf(WriteOutcome.Conflict.class, writer.write(old, stored()));
        assertTrue(
                conflict.text().contains("your value against the stored one burst: 30 -> 20"),
                conflict.text());
        assertEquals(20, burst());
    }

    @Property(seed = "9107", tries = 500)
    void theReportedOutcomeAgreesWithTheStoredObject(
            @ForAll @Size(min = 1, max = 12) List<Fault> faults) {
        FakeObjectStore faulty = new FakeObjectStore();
        ConfigWriter faultyWriter = ConfigWriter.of(faulty, () -> "m" + marks.incrementAndGet());
        int wanted = 0;
        for (Fault fault : faults) {
            Optional<StoredObject> before = read(faulty);
            int stored = before.map(ConfigWriterTest::burstOf).orElse(-1);
            wanted++;
            set(faulty, fault);
            WriteOutcome outcome = faultyWriter.write(entry(wanted), before);
            set(faulty, Fault.NONE);
            int current = read(faulty).map(ConfigWriterTest::burstOf).orElse(-1);
            boolean written = outcome instanceof WriteOutcome.Written;
            boolean isUnclear =
                    outcome instanceof WriteOutcome.Unreachable unconfirmed
                            && unconfirmed.mayHaveBeenWritten();
            assertTrue(current == (written ? wanted : stored) || isUnclear, outcome::text);
            assertEquals(fault != Fault.DOWN, written);
        }
    }

    private static void set(FakeObjectStore store, Fault fault) {
        store.setDown(fault == Fault.DOWN);
        store.loseAnswers(fault == Fault.ANSWER_LOST ? 1 : 0);
        store.loseRequests(fault == Fault.WRITE_LOST ? 1 : 0);
    }

    private static Optional<StoredObject> read(FakeObjectStore store) {
        return store.read(KEY).join() instanceof ReadResult.Found found
                ? Optional.of(found.object())
                : Optional.empty();
    }

    private static int burstOf(StoredObject object) {
        return StoredConfig.parseValue(object).path("burst").asInt();
    }

    private static ConfigEntry entry(int burst) {
        return new ConfigEntry(
                TEAM,
                OptionalLong.empty(),
                false,
                Json.newObject().put("template", "small").put("burst", burst));
    }

    private Optional<StoredObject> stored() {
        return read(store);
    }

    private int burst() {
        return burstOf(stored().orElseThrow());
    }
}
