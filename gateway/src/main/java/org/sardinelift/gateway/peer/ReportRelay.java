package org.sardinelift.gateway.peer;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.peer.PeerTable;
import org.sardinelift.core.peer.RelayBuffer;
import org.sardinelift.gateway.NodeSettings;

/**
 * Passes the reports of a zone on to the relays of the other zones, and theirs to the instances of
 * this zone; on the event loop. A relay that is lost costs no more than time: each instance also
 * reports to all others itself, less often.
 */
final class ReportRelay {
    /**
     * Time in which reports gather. The model of the load loses 0.7 in 100 calls in time at a third
     * over the capacity by it, and the messages between zones fall to a tenth.
     */
    private static final Duration GATHER = Duration.ofMillis(12);

    /** Bytes of the reports in one datagram; far below the longest, the sender's own included. */
    private static final int MAX_BYTES = 40_000;

    private final NodeSettings settings;
    private final PeerRole role;
    private final PeerTable book;
    private final EventLoop loop;
    private final BiConsumer<List<byte[]>, Collection<Peer>> sender;
    private final RelayBuffer forOtherZones = RelayBuffer.create(MAX_BYTES);
    private final RelayBuffer forOwnZone = RelayBuffer.create(MAX_BYTES);
    private boolean ownChanged;
    private boolean pending;

    /**
     * Makes a relay.
     *
     * @param sender sends reports of others, with one of this instance, to peers
     */
    ReportRelay(
            NodeSettings settings,
            PeerRole role,
            PeerTable book,
            EventLoop loop,
            BiConsumer<List<byte[]>, Collection<Peer>> sender) {
        this.settings = settings;
        this.role = role;
        this.book = book;
        this.loop = loop;
        this.sender = sender;
    }

    private boolean isRelay() {
        return book.isRelay(role, settings.zone(), System.nanoTime());
    }

    /** This instance has something new to report. */
    void onLocalChange() {
        if (isRelay()) {
            ownChanged = true;
            flushLater();
        }
    }

    /** A report came that the other zones, or the other instances of this zone, may not have. */
    void onReport(Peer peer, byte[] report) {
        if (!isRelay()) {
            return;
        }
        RelayBuffer buffer = peer.zone().equals(settings.zone()) ? forOtherZones : forOwnZone;
        buffer.put(peer.name(), report);
        flushLater();
    }

    private void flushLater() {
        if (!pending) {
            pending = true;
            loop.schedule(this::flush, GATHER.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void flush() {
        pending = false;
        long now = System.nanoTime();
        List<List<byte[]>> outward = forOtherZones.drain();
        List<List<byte[]>> inward = forOwnZone.drain();
        Collection<Peer> relays = book.relaysOfOtherZones(settings.zone(), now);
        outward.forEach(reports -> sender.accept(reports, relays));
        if (ownChanged && outward.isEmpty()) {
            sender.accept(List.of(), relays);
        }
        ownChanged = false;
        List<Peer> zone =
                Stream.of(PeerRole.values())
                        .flatMap(each -> book.livePeers(each, now))
                        .filter(peer -> peer.zone().equals(settings.zone()))
                        .toList();
        inward.forEach(reports -> sender.accept(reports, zone));
    }
}
