package org.sardinelift.gateway.job;

import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.joblog.ItemResult;
import org.sardinelift.core.joblog.JobItem;

/** How callers spell their calls for batch jobs, and how they are answered. */
public interface JobApi {

    /** A call about a job that was submitted before. */
    sealed interface JobCall {
        /**
         * The job.
         *
         * @return its name
         */
        String job();

        /**
         * Reads results.
         *
         * @param job name of the job
         * @param firstPosition position of the first
         * @param waitMs how long to wait for one, milliseconds
         */
        record Results(String job, int firstPosition, long waitMs) implements JobCall {}

        /**
         * Reads the body of an item.
         *
         * @param job name of the job
         * @param item name of the item
         */
        record ItemBody(String job, String item) implements JobCall {}

        /**
         * Ends the job.
         *
         * @param job name of the job
         */
        record End(String job) implements JobCall {}
    }

    /**
     * Recognizes a call about a submitted job.
     *
     * @param method HTTP method
     * @param uri path and query
     * @param header gives the first value of a request header, null where it is absent
     * @return the call, or empty where it is another one
     */
    Optional<JobCall> parseCall(String method, String uri, UnaryOperator<@Nullable String> header);

    /**
     * Reads the items of a submitted job.
     *
     * @param body body of the submission
     * @return its items
     * @throws IllegalArgumentException where the body is malformed
     */
    List<JobItem> parseItems(byte[] body);

    /**
     * Writes a page of results.
     *
     * @param total items of the job
     * @param next position after the last result
     * @param results the results
     * @return body of the answer
     */
    byte[] formatResults(int total, int next, List<ItemResult> results);
}
