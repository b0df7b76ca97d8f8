package org.sardinelift.gateway.job;

import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.joblog.ItemResult;
import org.sardinelift.core.joblog.JobItem;

/** The callers' HTTP interface for batch jobs: parses calls and formats responses. */
public interface JobApi {

    /** A call about a submitted job. */
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
         * @param firstPosition position of the first result to read
         * @param waitMs longest wait for a result, milliseconds
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
     * Parses a call about a submitted job.
     *
     * @param method HTTP method
     * @param uri path and query
     * @param header returns the first value of a request header, or null if it is absent
     * @return the call, or empty if it is not about a submitted job
     */
    Optional<JobCall> parseCall(String method, String uri, UnaryOperator<@Nullable String> header);

    /**
     * Parses the items of a job.
     *
     * @param body body of the submission
     * @return its items
     * @throws IllegalArgumentException if the body is malformed
     */
    List<JobItem> parseItems(byte[] body);

    /**
     * Formats a page of results.
     *
     * @param total number of items of the job
     * @param next position after the last result
     * @param results the results
     * @return body of the response
     */
    byte[] formatResults(int total, int next, List<ItemResult> results);
}
