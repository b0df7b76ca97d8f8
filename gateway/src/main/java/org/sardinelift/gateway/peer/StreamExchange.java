package org.sardinelift.gateway.peer;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import java.util.stream.Collectors;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.peer.PeerTable;
import org.sardinelift.core.plan.RegisteredTarget;
import org.sardinelift.core.plan.SoftwareVersion;
import org.sardinelift.core.resume.OriginInquiry;
import org.sardinelift.core.resume.OriginInquiry.Outcome;
import org.sardinelift.core.resume.OriginKeepers;
import org.sardinelift.core.resume.RecordedVersions;
import org.sardinelift.core.resume.StreamOrigins.Origin;
import org.sardinelift.core.resume.StreamVersions;
import org.sardinelift.core.resume.StreamVersions.Found;
import org.sardinelift.core.resume.VersionHistory;
import org.sardinelift.core.route.Rendezvous;
import org.sardinelift.protocol.generated.PeerReport;
import org.sardinelift.protocol.generated.ServiceVersion;
import org.sardinelift.protocol.generated.StreamAnswer;
import org.sardinelift.protocol.generated.StreamBeginning;
import org.sardinelift.protocol.generated.StreamMessage;
import org.sardinelift.protocol.generated.StreamQuestion;
import org.sardinelift.runtime.log.LogEvent;

/**
 * Announces to the keepers of streams which software version begins them, and asks them when a
 * caller resumes a stream that this instance doesn't know. On the event loop.
 */
public final class StreamExchange implements ReportSection {
    /** Wait for further streams of the same keeper; the first event takes longer. */
    private static final Duration ANNOUNCEMENT_DELAY = Duration.ofMillis(2);

    /** Before the first event, after which a stream that is not known is lost to its caller. */
    private static final Duration ANNOUNCEMENT_REPEAT_DELAY = Duration.ofMillis(10);

    /** Several round trips between zones. */
    private static final Duration REPEAT_DELAY = Duration.ofMillis(40);

    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(100);

    /** Four heartbeats to other zones, and the time to be introduced to a peer. */
    private static final Duration CONTACT_TIME = Duration.ofSeconds(2);

    /** Keeps a message far below the longest datagram. */
    private static final int MAX_BEGINNINGS = 500;

    private final long startedAt = System.nanoTime();
    private final String instance;
    private final EventLoop loop;
    private final BiConsumer<String, StreamMessage> sender;
    private final LongPredicate isListCurrent;
    private final StreamVersions versions;
    private final Map<String, OriginKeepers.Candidate> keepingPeers = new HashMap<>();
    private final Map<String, List<Origin>> unsent = new LinkedHashMap<>();
    private final Map<Long, List<OpenInquiry>> inquiries = new HashMap<>();
    private Set<String> services = Set.of();
    private Set<String> servicesWithSoleVersion = Set.of();
    private List<OriginKeepers.Candidate> candidates = List.of();
    private boolean isSendScheduled;

    private record OpenInquiry(OriginInquiry inquiry, Consumer<Outcome> listener) {}

    /**
     * Creates an exchange.
     *
     * @param instance name of this instance
     * @param isFirstStart whether the deployment starts for the first time
     * @param loop the event loop
     * @param sender sends a message to the peer of a name
     * @param isListCurrent whether, at a time, no other instance can know of targets that this one
     *     doesn't
     */
    StreamExchange(
            String instance,
            boolean isFirstStart,
            EventLoop loop,
            BiConsumer<String, StreamMessage> sender,
            LongPredicate isListCurrent) {
        this.instance = instance;
        this.loop = loop;
        this.sender = sender;
        this.isListCurrent = isListCurrent;
        this.versions = StreamVersions.create(instance, new SplittableRandom(), isFirstStart);
    }

    /**
     * Identifies a stream among those of all teams.
     *
     * @param team the team that it runs for
     * @param callId id of the caller's attempt that brings its first event
     * @return the hash of the stream
     */
    public static long streamHash(String team, String callId) {
        return Rendezvous.weight(callId, team);
    }

    /**
     * The versions that were registered lately.
     *
     * @return the history
     */
    public VersionHistory history() {
        return versions.history();
    }

    /**
     * The versions that the record in the store holds.
     *
     * @return the decisions
     */
    public RecordedVersions recorded() {
        return versions.recorded();
    }

    /**
     * What to do now with the record in the store.
     *
     * @param isTargetsReader whether this instance reads the targets for its zone
     * @param now the time
     * @return the action, or empty if nothing is due
     */
    public Optional<RecordedVersions.Action> dueAction(boolean isTargetsReader, long now) {
        versions.recorded().onListAge(isListCurrent.test(now), now);
        return versions.dueAction(isTargetsReader, now);
    }

    /**
     * Whether reports of instances that may keep streams can still be on their way after a start.
     *
     * @return true for a short time after the start
     */
    public boolean isMakingContact() {
        return System.nanoTime() - startedAt < CONTACT_TIME.toNanos();
    }

    /**
     * Counts the streams whose beginning is known here.
     *
     * @return number of own and of kept streams
     */
    public int knownStreams() {
        return versions.size();
    }

    /**
     * Counts the streams that were forgotten before their time because of a bound.
     *
     * @return their number
     */
    public long droppedStreams() {
        return versions.droppedCount();
    }

    /**
     * The targets have changed.
     *
     * @param targets the registered targets
     */
    public void onTargets(Collection<RegisteredTarget> targets) {
        long now = System.nanoTime();
        services = targets.stream().map(RegisteredTarget::service).collect(Collectors.toSet());
        Set<SoftwareVersion> registered =
                targets.stream().map(SoftwareVersion::of).collect(Collectors.toSet());
        versions.onTargets(registered, now);
        announceRecentStreams(now);
    }

    @Override
    public void addTo(PeerReport report, boolean isFull, long now) {
        report.setKeepsStreams(true);
    }

    @Override
    public void onReport(Peer peer, PeerReport report, long now) {
        onReport(peer, report);
    }

    /** A peer reported whether it keeps streams. */
    void onReport(Peer peer, PeerReport report) {
        if (report.isKeepsStreams()) {
            OriginKeepers.Candidate known = keepingPeers.get(peer.name());
            if (known == null || !known.zone().equals(peer.zone())) {
                keepingPeers.put(
                        peer.name(),
                        OriginKeepers.Candidate.of(peer.name(), peer.zone(), peer.role()));
            }
        } else {
            keepingPeers.remove(peer.name());
        }
    }

    @Override
    public void onPeerRemoved(String name) {
        keepingPeers.remove(name);
    }

    @Override
    public void tick(PeerTable peers, long now) {
        tick(peers.stayingPeers(now), now);
    }

    /** Time has passed; live peers that stay may keep streams. */
    void tick(Collection<Peer> stayingPeers, long now) {
        candidates =
                stayingPeers.stream()
                        .flatMap(
                                peer -> Optional.ofNullable(keepingPeers.get(peer.name())).stream())
                        .toList();
        announceRecentStreams(now);
    }

    private void announceRecentStreams(long now) {
        Set<String> before = servicesWithSoleVersion;
        servicesWithSoleVersion =
                services.stream()
                        .filter(service -> soleVersion(service, now).isPresent())
                        .collect(Collectors.toSet());
        before.stream()
                .filter(service -> !servicesWithSoleVersion.contains(service))
                .flatMap(service -> versions.recentStreams(service, now))
                .toList()
                .forEach(this::announce);
    }

    private Optional<SoftwareVersion> soleVersion(String service, long now) {
        return versions.soleVersion(service, isListCurrent.test(now), now);
    }

    /**
     * A stream that begins here is sent to a target.
     *
     * @param stream hash of the stream
     * @param version version of the target's software
     * @param send number of the send
     */
    public void onSent(long stream, SoftwareVersion version, int send) {
        long now = System.nanoTime();
        Origin origin = new Origin(stream, version, send);
        versions.onSent(origin, now);
        if (soleVersion(version.service(), now).isEmpty()) {
            announce(origin);
        }
    }

    private void announce(Origin origin) {
        List<OriginKeepers.Candidate> keepers = OriginKeepers.keepers(origin.stream(), candidates);
        keepers.forEach(keeper -> enqueue(keeper.name(), origin));
        // After the loss of all gateways only the worker knows, so a lost message is a lost stream.
        keepers.stream()
                .filter(keeper -> keeper.role() == PeerRole.WORKER)
                .forEach(
                        keeper ->
                                loop.schedule(
                                        () -> enqueue(keeper.name(), origin),
                                        ANNOUNCEMENT_REPEAT_DELAY.toNanos(),
                                        TimeUnit.NANOSECONDS));
    }

    private void enqueue(String keeper, Origin origin) {
        unsent.computeIfAbsent(keeper, name -> new ArrayList<>()).add(origin);
        if (!isSendScheduled) {
            isSendScheduled = true;
            loop.schedule(
                    this::sendAnnouncements, ANNOUNCEMENT_DELAY.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void sendAnnouncements() {
        isSendScheduled = false;
        unsent.forEach(
                (keeper, origins) -> {
                    for (int from = 0; from < origins.size(); from += MAX_BEGINNINGS) {
                        int to = Math.min(origins.size(), from + MAX_BEGINNINGS);
                        sender.accept(keeper, toMessage(origins.subList(from, to)));
                    }
                });
        unsent.clear();
    }

    private StreamMessage toMessage(List<Origin> origins) {
        VersionList list = new VersionList();
        StreamMessage message = newMessage();
        message.setBeginnings(
                origins.stream()
                        .map(
                                origin ->
                                        new StreamBeginning(
                                                origin.stream(),
                                                list.indexOf(origin.version()),
                                                origin.send()))
                        .toList());
        return message.setVersions(list.toReport());
    }

    private StreamMessage newMessage() {
        return new StreamMessage(instance, List.of(), List.of(), List.of(), List.of());
    }

    /**
     * Finds the version that began a stream, from what this instance knows.
     *
     * @param stream hash of the stream
     * @param service service that runs the stream
     * @return the version, or empty if keepers have to be asked
     */
    public Optional<Found> find(long stream, String service) {
        long now = System.nanoTime();
        return versions.find(stream, service, isListCurrent.test(now), now);
    }

    /**
     * The version that began all streams of a service that may be resumed now.
     *
     * @param service the service
     * @return the version, or empty if there may be several
     */
    public Optional<SoftwareVersion> soleVersion(String service) {
        return soleVersion(service, System.nanoTime());
    }

    /**
     * Asks the keepers of a stream which version began it.
     *
     * @param stream hash of the stream
     * @param service service that runs the stream
     * @param listener receives the outcome, at once if there is no one to ask
     */
    public void inquire(long stream, String service, Consumer<Outcome> listener) {
        List<String> keepers =
                OriginKeepers.asked(stream, candidates).stream()
                        .map(OriginKeepers.Candidate::name)
                        .toList();
        if (keepers.isEmpty()) {
            listener.accept(new Outcome.Unknown(0));
            return;
        }
        OpenInquiry open = new OpenInquiry(OriginInquiry.of(keepers), listener);
        inquiries.computeIfAbsent(stream, key -> new ArrayList<>()).add(open);
        ask(stream, service, open);
        loop.schedule(
                () -> ask(stream, service, open), REPEAT_DELAY.toNanos(), TimeUnit.NANOSECONDS);
        loop.schedule(
                () -> end(stream, open, open.inquiry().onTimeout()),
                ANSWER_TIMEOUT.toNanos(),
                TimeUnit.NANOSECONDS);
    }

    private void ask(long stream, String service, OpenInquiry open) {
        if (inquiries.getOrDefault(stream, List.of()).contains(open)) {
            StreamMessage message =
                    newMessage().setQuestions(List.of(new StreamQuestion(stream, service)));
            open.inquiry().unanswered().forEach(keeper -> sender.accept(keeper, message));
        }
    }

    private void end(long stream, OpenInquiry open, Optional<Outcome> outcome) {
        outcome.ifPresent(
                known -> {
                    List<OpenInquiry> left = inquiries.getOrDefault(stream, List.of());
                    left.remove(open);
                    if (left.isEmpty()) {
                        inquiries.remove(stream);
                    }
                    open.listener().accept(known);
                });
    }

    /** A message of a peer arrived. */
    void onMessage(StreamMessage message) {
        if (!isComplete(message)) {
            LogEvent.of("streams.unreadable").with("peer", message.getInstance()).warn();
            return;
        }
        long now = System.nanoTime();
        List<SoftwareVersion> listed =
                message.getVersions().stream()
                        .map(each -> new SoftwareVersion(each.getServiceName(), each.getVersion()))
                        .toList();
        String peer = message.getInstance();
        message.getBeginnings().stream()
                .filter(beginning -> isIndex(beginning.getVersion(), listed))
                .map(
                        beginning ->
                                new Origin(
                                        beginning.getStream(),
                                        listed.get(beginning.getVersion()),
                                        beginning.getSend()))
                .forEach(origin -> versions.onAnnounced(origin, peer, now));
        message.getAnswers().forEach(answer -> onAnswer(answer, peer, listed));
        if (!message.getQuestions().isEmpty()) {
            sender.accept(peer, answer(message.getQuestions()));
        }
    }

    private static boolean isComplete(StreamMessage message) {
        return message.isSetInstance()
                && message.isSetVersions()
                && message.isSetBeginnings()
                && message.isSetQuestions()
                && message.isSetAnswers();
    }

    private static boolean isIndex(int index, List<?> list) {
        return index >= 0 && index < list.size();
    }

    private StreamMessage answer(List<StreamQuestion> questions) {
        VersionList list = new VersionList();
        StreamMessage message = newMessage();
        message.setAnswers(
                questions.stream()
                        .map(question -> answer(question, list))
                        .collect(Collectors.toList()));
        return message.setVersions(list.toReport());
    }

    private StreamAnswer answer(StreamQuestion question, VersionList list) {
        StreamAnswer answer = new StreamAnswer(question.getStream(), false);
        find(question.getStream(), question.getServiceName())
                .ifPresent(
                        found -> {
                            answer.setVersion(list.indexOf(found.version()));
                            answer.setSoleVersion(
                                    found.source() == StreamVersions.Source.SOLE_VERSION);
                        });
        return answer;
    }

    private void onAnswer(StreamAnswer answer, String keeper, List<SoftwareVersion> listed) {
        Optional<SoftwareVersion> version =
                answer.isSetVersion() && isIndex(answer.getVersion(), listed)
                        ? Optional.of(listed.get(answer.getVersion()))
                        : Optional.empty();
        List.copyOf(inquiries.getOrDefault(answer.getStream(), List.of()))
                .forEach(
                        open ->
                                end(
                                        answer.getStream(),
                                        open,
                                        open.inquiry().onAnswer(keeper, version)));
    }

    /** The versions that a message names, each once. */
    private static final class VersionList {
        private final Map<SoftwareVersion, Integer> indexes = new LinkedHashMap<>();

        int indexOf(SoftwareVersion version) {
            return indexes.computeIfAbsent(version, key -> indexes.size());
        }

        List<ServiceVersion> toReport() {
            return indexes.keySet().stream()
                    .map(version -> new ServiceVersion(version.service(), version.version()))
                    .toList();
        }
    }
}
