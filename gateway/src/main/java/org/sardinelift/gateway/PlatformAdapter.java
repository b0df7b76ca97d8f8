package org.sardinelift.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.plan.RegisteredTarget;
import org.sardinelift.core.plan.ServingPlan;
import org.sardinelift.gateway.job.JobApi;
import org.sardinelift.objects.ObjectDialect;
import org.sardinelift.objects.ObjectKey;

/** Translates between sardinelift's terms and those of the platform that it runs on. */
public interface PlatformAdapter {

    /**
     * Names of the headers that the platform uses.
     *
     * @return the names
     */
    HeaderNames headerNames();

    /**
     * Reads the parts of a prompt that other requests may share: all but the last one.
     *
     * @param promptParts the header that lists a request's parts, null if the request has none
     * @return ids of the parts in order; empty if the header can't be read
     */
    List<String> sharedPromptParts(@Nullable String promptParts);

    /**
     * Reads the tokens that a request may hold in the memory of a target.
     *
     * @param tokenCount the header that states them, null if the request has none
     * @return tokens of prompt and output; empty if the header can't be read
     */
    OptionalLong tokenCount(@Nullable String tokenCount);

    /**
     * Headers that only the system may send to targets; those of callers are not forwarded.
     *
     * @return names in lower case
     */
    Set<String> reservedHeaders();

    /**
     * Form of the calls to the platform's object store.
     *
     * @return the dialect
     */
    ObjectDialect objectDialect();

    /**
     * Key of the stored configuration.
     *
     * @return the key
     */
    ObjectKey planKey();

    /**
     * Decodes the configuration.
     *
     * @param value the stored value
     * @return the configuration, or why it is unreadable
     */
    Decoded<ServingPlan> decodePlan(String value);

    /**
     * Kind of the objects with which targets register.
     *
     * @return the kind
     */
    String targetKind();

    /**
     * Decodes the registration of a target.
     *
     * @param name name of the object
     * @param value the stored value
     * @return the registration, or why it is unreadable
     */
    Decoded<RegisteredTarget> decodeTarget(String name, String value);

    /**
     * Path at which a target answers without occupying a slot.
     *
     * @return the path
     */
    String probePath();

    /**
     * Reads from a target's answer to a probe when the target was started, which tells a restarted
     * target from the one that is registered.
     *
     * @param probeAnswer body of the answer
     * @return the start, Unix milliseconds; empty if the answer doesn't state it
     */
    OptionalLong startedAtMs(byte[] probeAnswer);

    /**
     * The callers' API for batch jobs.
     *
     * @return the API
     */
    JobApi jobs();

    /**
     * Kind of the objects with which operators request the retirement of an instance; each has the
     * name of its instance.
     *
     * @return the kind, or empty if the platform has no such requests
     */
    Optional<String> retirementKind();

    /**
     * Kind of the objects with which operators request that a zone gets nothing more; each has the
     * name of its zone.
     *
     * @return the kind, or empty if the platform has no such requests
     */
    Optional<String> evacuationKind();

    /**
     * Request to the store that reports the progress of a retirement.
     *
     * @param key key of the retirement object
     * @param isDone whether the instance may be removed
     * @return the request
     */
    ObjectDialect.Request retirementStatusRequest(ObjectKey key, boolean isDone);

    /**
     * Result of decoding a stored value.
     *
     * @param <T> type of the value
     */
    sealed interface Decoded<T> {
        /**
         * The decoded value.
         *
         * @param value the value
         * @param <T> type of the value
         */
        record Value<T>(T value) implements Decoded<T> {}

        /**
         * The stored value could not be decoded.
         *
         * @param reason what is wrong with the stored value
         * @param <T> type of the expected value
         */
        record Unreadable<T>(String reason) implements Decoded<T> {}
    }
}
