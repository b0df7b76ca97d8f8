package org.sardinelift.core.resume;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.resume.OriginKeepers.Candidate;

class OriginKeepersTest {
    private static final int STREAMS = 2_000;
    private final Random random = new Random(3);

    private static List<Candidate> fleet(int size) {
        return IntStream.range(0, size)
                .mapToObj(i -> Candidate.of("instance-" + i, "z" + i % 3, PeerRole.GATEWAY))
                .toList();
    }

    private static List<Candidate> without(List<Candidate> fleet, Candidate left) {
        List<Candidate> others = new ArrayList<>(fleet);
        others.remove(left);
        return others;
    }

    @Test
    void keepersAreInDifferentZonesIfThereAreSeveral() {
        random.longs(STREAMS)
                .forEach(
                        stream -> {
                            List<Candidate> keepers = OriginKeepers.select(stream, fleet(8), 2);
                            assertEquals(
                                    2, keepers.stream().map(Candidate::zone).distinct().count());
                        });
        assertEquals(2, OriginKeepers.select(1, List.copyOf(fleet(8).subList(0, 2)), 4).size());
        assertEquals(List.of(), OriginKeepers.select(1, List.of(), 2));
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 8, 43, 200})
    void theInstanceThatACallerComesBackToAsksAKeeperThoughTheTwoSeeDifferentPeers(int size) {
        List<Candidate> fleet = fleet(size);
        int missed = 0;
        for (int i = 0; i < STREAMS; i++) {
            long stream = random.nextLong();
            Candidate first = fleet.get(random.nextInt(size));
            Candidate asker = without(fleet, first).get(random.nextInt(size - 1));
            HashSet<Candidate> keepers =
                    new HashSet<>(OriginKeepers.keepers(stream, without(fleet, first)));
            List<Candidate> asked = OriginKeepers.asked(stream, without(fleet, asker));
            boolean isKeeperItself = keepers.contains(asker);
            if (!isKeeperItself && asked.stream().noneMatch(keepers::contains)) {
                missed++;
            }
        }
        assertEquals(0, missed);
    }

    @Test
    void streamsAreSpreadOverAllInstances() {
        var counts =
                random.longs(STREAMS)
                        .boxed()
                        .flatMap(stream -> OriginKeepers.select(stream, fleet(24), 2).stream())
                        .collect(Collectors.groupingBy(Candidate::name, Collectors.counting()));

        assertEquals(24, counts.size());
        double mean = 2.0 * STREAMS / 24;
        assertTrue(counts.values().stream().allMatch(count -> count < 1.5 * mean), "" + counts);
    }

    /** Guards against streams that are lost with all gateways: a worker keeps each. */
    @ParameterizedTest
    @ValueSource(ints = {1, 5, 40, 200})
    void aWorkerKeepsEachStreamAndIsFoundByAGatewayThatHasHeardNoOther(int gateways) {
        List<Candidate> workers =
                IntStream.range(0, (gateways + 3) / 4)
                        .mapToObj(i -> Candidate.of("w-" + i, "z" + i % 3, PeerRole.WORKER))
                        .toList();
        List<Candidate> all = new ArrayList<>(fleet(gateways));
        all.addAll(workers);
        for (int i = 0; i < STREAMS; i++) {
            long stream = random.nextLong();
            List<Candidate> keepers = OriginKeepers.keepers(stream, all);
            Candidate worker = keepers.get(1);
            assertEquals(PeerRole.GATEWAY, keepers.get(0).role());
            assertEquals(PeerRole.WORKER, worker.role());
            assertTrue(OriginKeepers.asked(stream, workers).contains(worker));
            assertTrue(OriginKeepers.asked(stream, all).contains(worker));
        }
    }
}
