package org.sardinelift.objects;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.sardinelift.http.HttpAnswer;

/**
 * How a store of objects spells its calls and answers over HTTP/1.1. A reader of an answer may
 * throw {@link IllegalArgumentException} where the answer is malformed.
 */
public interface ObjectDialect {

    /**
     * One call.
     *
     * @param method HTTP method
     * @param uri path and query
     * @param body body bytes, empty for none
     */
    record Request(String method, String uri, byte[] body) {
        /**
         * A call without a body.
         *
         * @param method HTTP method
         * @param uri path and query
         * @return the call
         */
        public static Request of(String method, String uri) {
            return new Request(method, uri, new byte[0]);
        }
    }

    /**
     * One page of a list.
     *
     * @param listed its objects
     * @param nextPageStart where the next page begins, or empty after the last
     */
    record Page(ListResult.Listed listed, Optional<String> nextPageStart) {}

    /**
     * A call that reads an object.
     *
     * @param key its name
     * @return the call
     */
    Request readRequest(ObjectKey key);

    /**
     * The outcome of a read.
     *
     * @param key name of the object
     * @param answer what the store answered
     * @param body its body as JSON, a missing node where it is none
     * @return what was read
     */
    ReadResult parseReadResult(ObjectKey key, HttpAnswer answer, JsonNode body);

    /**
     * A call that writes an object under a condition.
     *
     * @param key its name
     * @param expectedVersion the version that must be there, {@link ObjectStore#ABSENT_VERSION} to
     *     create
     * @param value new value
     * @return the call
     */
    Request writeRequest(ObjectKey key, long expectedVersion, String value);

    /**
     * A call that deletes an object under a condition.
     *
     * @param key its name
     * @param expectedVersion the version that must be there
     * @return the call
     */
    Request deleteRequest(ObjectKey key, long expectedVersion);

    /**
     * The outcome of a write or a deletion.
     *
     * @param answer what the store answered
     * @param body its body as JSON, a missing node where it is none
     * @return what became of it
     */
    WriteResult parseWriteResult(HttpAnswer answer, JsonNode body);

    /**
     * A call that lists objects.
     *
     * @param kind kind of object
     * @param namePrefix prefix of the names, empty for all
     * @param from where the page begins, empty for the first
     * @return the call
     */
    Request listRequest(String kind, String namePrefix, String from);

    /**
     * One page of a list, from an answer with status 200.
     *
     * @param kind kind of object
     * @param namePrefix prefix of the names, empty for all
     * @param body the body as JSON
     * @return the page
     */
    Page parsePage(String kind, String namePrefix, JsonNode body);

    /**
     * A call that waits for changes.
     *
     * @param kinds kinds to watch
     * @param afterRevision the last revision that the caller holds
     * @param wait longest time to wait
     * @return the call
     */
    Request watchRequest(Set<String> kinds, long afterRevision, Duration wait);

    /**
     * The outcome of a watch, from an answer with status 200.
     *
     * @param kinds kinds that were watched
     * @param body the body as JSON
     * @return the changes
     */
    WatchResult parseChanges(Set<String> kinds, JsonNode body);

    /**
     * A call that reads the lagging list of instances.
     *
     * @return the call, or empty where the store has no such list
     */
    Optional<Request> instancesRequest();

    /**
     * The list of instances, from an answer with status 200.
     *
     * @param body the body as JSON
     * @return the list
     */
    InstancesResult parseInstances(JsonNode body);

    /**
     * Why the store refused a call.
     *
     * @param answer what the store answered
     * @return the reason in words
     */
    static String refusalReason(HttpAnswer answer) {
        String retryAfter = answer.header("Retry-After");
        return "the platform answered "
                + answer.status()
                + (retryAfter == null ? "" : ", retry after " + retryAfter + " s");
    }
}
