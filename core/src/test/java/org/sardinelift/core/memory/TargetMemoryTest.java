package org.sardinelift.core.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.memory.TargetMemory.LimitedTarget;

/** Guards against requests that are sent without knowing what others have sent. */
class TargetMemoryTest {
    private static final long MILLI = 1_000_000;
    private static final long MEMORY = 72_000;
    private static final long LARGE = 20_000;
    private static final long SETTLED = 1_200 * MILLI;

    private final TargetMemory memory = TargetMemory.create("g1", 0);

    private static LimitedTarget target(String id) {
        return new LimitedTarget(id, "chat", 8, 0, MEMORY);
    }

    private static List<String> ownedBy(TargetMemory account, long now) {
        return IntStream.range(0, 100)
                .mapToObj(i -> "t" + i)
                .filter(id -> account.fits(target(id), LARGE, now))
                .toList();
    }

    @Test
    void theOnlyInstanceUsesTheWholeMemoryOnceItKnowsThatItIsAlone() {
        assertFalse(memory.fits(target("t"), MEMORY, SETTLED - 1));
        assertTrue(memory.fits(target("t"), MEMORY, SETTLED));
        assertFalse(memory.fits(target("t"), MEMORY + 1, SETTLED));
    }

    @Test
    void eachTargetHasOneOwner() {
        TargetMemory other = TargetMemory.create("g2", 0);
        memory.onMembers(List.of("g2"), 0);
        other.onMembers(List.of("g1"), 0);
        List<String> own = ownedBy(memory, SETTLED);
        List<String> others = ownedBy(other, SETTLED);

        assertEquals(100, own.size() + others.size());
        assertTrue(own.stream().noneMatch(others::contains));
        assertTrue(own.size() > 25 && others.size() > 25);
    }

    @Test
    void targetsOfALostInstanceAreTakenOverOnlyAfterTheSettleTime() {
        memory.onMembers(List.of("g2"), 0);
        int before = ownedBy(memory, SETTLED).size();
        memory.onMembers(List.of(), 2 * SETTLED);

        memory.onMembers(List.of(), 3 * SETTLED - 1);
        assertEquals(before, ownedBy(memory, 3 * SETTLED - 1).size());
        memory.onMembers(List.of(), 3 * SETTLED);
        assertEquals(100, ownedBy(memory, 3 * SETTLED).size());
    }

    @Test
    void targetsOfANewInstanceAreLeftToItAtOnce() {
        memory.onMembers(List.of(), 0);
        memory.onMembers(List.of("g2"), 2 * SETTLED);

        assertTrue(ownedBy(memory, 2 * SETTLED).size() < 75);
    }

    @Test
    void reportedTokensCountUntilTheNextReportOrTheExpiry() {
        memory.onReport("g2", Map.of("t", 60_000L), 0);
        assertFalse(memory.fits(target("t"), LARGE, SETTLED));
        memory.onReport("g2", Map.of("t", 1_000L), SETTLED);
        assertEquals(1_000, memory.knownTokens("t"));

        memory.onMembers(List.of(), SETTLED + 10_000 * MILLI);
        assertEquals(0, memory.knownTokens("t"));
    }

    @Test
    void endedRequestsAreNotCounted() {
        memory.onSent("t", LARGE, 0);
        memory.onSent("t", 5, 0);
        memory.onEnded("t", LARGE);
        assertEquals(Map.of("t", 5L), memory.reportedTokens());
        memory.onEnded("t", 5);
        assertEquals(Map.of(), memory.reportedTokens());
    }

    @Test
    void aRequestForAWholeTargetIsSentOnceTheOthersHaveStopped() {
        memory.onMembers(List.of("g2"), 0);
        LimitedTarget owned = target(ownedBy(memory, SETTLED).get(0));
        long large = MEMORY - 1_000;
        assertFalse(memory.fits(owned, large, SETTLED));
        assertTrue(memory.clearFor(List.of(owned), large, SETTLED));
        assertEquals(MEMORY, memory.reportedTokens().get(owned.id()));

        assertFalse(memory.fits(owned, large, SETTLED + 999 * MILLI));
        assertFalse(memory.fits(owned, 100, SETTLED + 1_000 * MILLI), "kept free");
        assertTrue(memory.fits(owned, large, SETTLED + 1_000 * MILLI));
        memory.onReport("g2", Map.of(owned.id(), 1_001L), SETTLED + 1_000 * MILLI);
        assertFalse(memory.fits(owned, large, SETTLED + 1_000 * MILLI));

        memory.onMembers(List.of("g2"), SETTLED + 4_000 * MILLI);
        assertEquals(Map.of(), memory.reportedTokens());
    }

    @Test
    void othersSendNothingToATargetThatIsCleared() {
        memory.onMembers(List.of("g2"), 0);
        memory.onReport("g2", Map.of("t", MEMORY), SETTLED);

        assertFalse(memory.fits(target("t"), 1, SETTLED));
    }

    @Test
    void aWorkerThatGetsItsFirstJobIsNoOwnerBeforeTheOthersKnow() {
        memory.setSending(false, 0);
        assertFalse(memory.fits(target("t"), LARGE, SETTLED));
        memory.setSending(true, SETTLED);
        assertFalse(memory.fits(target("t"), LARGE, 2 * SETTLED - 1));
        assertTrue(memory.fits(target("t"), LARGE, 2 * SETTLED));
    }

    @Test
    void justAfterTheStartASmallRequestNeedsASlotThatTheTargetStatesAsFree() {
        LimitedTarget full = new LimitedTarget("t", "chat", 8, 8, MEMORY);
        assertFalse(memory.fits(full, 100, 0));
        assertTrue(memory.fits(target("t"), 100, 0));
        assertTrue(memory.fits(full, 100, SETTLED));
    }
}
