package org.sardinelift.core.resume;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.sardinelift.core.plan.SoftwareVersion;

/**
 * A question to the keepers of a stream for the software version that began it. The first keeper
 * that knows decides. That a keeper doesn't know shows nothing: it may have restarted, or the
 * report may have been lost. Not thread-safe.
 */
public final class OriginInquiry {
    private final Set<String> unanswered;
    private boolean isEnded;

    /** The outcome of a question. */
    public sealed interface Outcome {
        /**
         * A keeper knows the version.
         *
         * @param version the version
         * @param keeper the keeper
         */
        record Known(SoftwareVersion version, String keeper) implements Outcome {}

        /**
         * No keeper that answered knows it.
         *
         * @param silentKeepers number of keepers that have not answered
         */
        record Unknown(int silentKeepers) implements Outcome {}
    }

    private OriginInquiry(Collection<String> keepers) {
        this.unanswered = new HashSet<>(keepers);
    }

    /**
     * Creates a question.
     *
     * @param keepers names of the keepers that are asked
     * @return the question
     */
    public static OriginInquiry of(Collection<String> keepers) {
        return new OriginInquiry(keepers);
    }

    /**
     * The keepers that have not answered yet.
     *
     * @return their names
     */
    public Set<String> unanswered() {
        return Set.copyOf(unanswered);
    }

    /**
     * A keeper answered.
     *
     * @param keeper name of the keeper
     * @param version the version, or empty if it doesn't know
     * @return the outcome, once, or empty while others may know
     */
    public Optional<Outcome> onAnswer(String keeper, Optional<SoftwareVersion> version) {
        unanswered.remove(keeper);
        if (version.isPresent()) {
            return end(new Outcome.Known(version.get(), keeper));
        }
        return unanswered.isEmpty() ? end(new Outcome.Unknown(0)) : Optional.empty();
    }

    /**
     * The time for answers is over.
     *
     * @return the outcome, or empty if there was one before
     */
    public Optional<Outcome> onTimeout() {
        return end(new Outcome.Unknown(unanswered.size()));
    }

    private Optional<Outcome> end(Outcome outcome) {
        if (isEnded) {
            return Optional.empty();
        }
        isEnded = true;
        return Optional.of(outcome);
    }
}
