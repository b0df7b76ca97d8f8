package org.sardinelift.gateway;

import java.util.Optional;
import java.util.Set;
import org.sardinelift.core.plan.RegisteredTarget;
import org.sardinelift.core.plan.ServingPlan;
import org.sardinelift.gateway.job.JobApi;
import org.sardinelift.objects.ObjectDialect;
import org.sardinelift.objects.ObjectKey;

/** Translates between the product's terms and those of the platform that it runs on. */
public interface PlatformAdapter {

    /**
     * Names of the headers on the platform.
     *
     * @return the names
     */
    HeaderNames headerNames();

    /**
     * Headers by which a caller could speak in the system's place; they are not passed on.
     *
     * @return names in lower case
     */
    Set<String> reservedHeaders();

    /**
     * How the platform's store spells its calls.
     *
     * @return the dialect
     */
    ObjectDialect objectDialect();

    /**
     * Where the configuration is stored.
     *
     * @return its key
     */
    ObjectKey planKey();

    /**
     * Reads the configuration.
     *
     * @param value the stored value
     * @return the plan, or why it can't be read
     */
    Decoded<ServingPlan> decodePlan(String value);

    /**
     * Where targets register themselves.
     *
     * @return the kind of their objects
     */
    String targetKind();

    /**
     * Reads the entry of a target.
     *
     * @param name name of the object
     * @param value the stored value
     * @return the entry, or why it can't be read
     */
    Decoded<RegisteredTarget> decodeTarget(String name, String value);

    /**
     * Path at which a target answers without taking a slot.
     *
     * @return the path
     */
    String probePath();

    /**
     * The callers' interface for batch jobs.
     *
     * @return the interface
     */
    JobApi jobs();

    /**
     * Where operators ask for an instance to be emptied; the name of the object is the instance's.
     *
     * @return the kind, or empty where the platform has no such requests
     */
    Optional<String> retirementKind();

    /**
     * A call of the store that reports how far an emptying is.
     *
     * @param key object of the request
     * @param done whether the instance may be taken away
     * @return the call
     */
    ObjectDialect.Request retirementStatusRequest(ObjectKey key, boolean done);

    /**
     * A value read from the platform.
     *
     * @param <T> what it is
     */
    sealed interface Decoded<T> {
        /**
         * It could be read.
         *
         * @param value the value
         * @param <T> what it is
         */
        record Value<T>(T value) implements Decoded<T> {}

        /**
         * It could not be read.
         *
         * @param reason what is wrong with it
         * @param <T> what it should be
         */
        record Unreadable<T>(String reason) implements Decoded<T> {}
    }
}
