package org.sardinelift.objects;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.sardinelift.http.BufferedHttpResponse;

/**
 * Formats the requests and parses the responses of one kind of object store over HTTP/1.1. The
 * parsers throw {@link IllegalArgumentException} if a response is malformed.
 */
public interface ObjectDialect {
    /** Malformed, too large, unprocessable. */
    Set<Integer> REJECTED_STATUSES = Set.of(400, 413, 422);

    /**
     * One HTTP request.
     *
     * @param method HTTP method
     * @param uri path and query
     * @param body body bytes, empty for none
     */
    record Request(String method, String uri, byte[] body) {
        /**
         * Creates a request without a body.
         *
         * @param method HTTP method
         * @param uri path and query
         * @return the request
         */
        public static Request of(String method, String uri) {
            return new Request(method, uri, new byte[0]);
        }
    }

    /**
     * One page of a list.
     *
     * @param listed objects of the page
     * @param nextPageStart where the next page begins, empty after the last page
     */
    record Page(ListResult.Listed listed, Optional<String> nextPageStart) {}

    /**
     * Formats a request that reads an object.
     *
     * @param key kind and name of the object
     * @return the request
     */
    Request readRequest(ObjectKey key);

    /**
     * Parses the response to a read.
     *
     * @param key kind and name of the object
     * @param answer response of the store
     * @param body body as JSON, a missing node if it is not JSON
     * @return outcome of the read
     */
    ReadResult parseReadResult(ObjectKey key, BufferedHttpResponse answer, JsonNode body);

    /**
     * Formats a request that writes an object if it has the expected version.
     *
     * @param key kind and name of the object
     * @param expectedVersion version that the object must have, {@link ObjectStore#ABSENT_VERSION}
     *     to create
     * @param value new value
     * @return the request
     */
    Request writeRequest(ObjectKey key, long expectedVersion, String value);

    /**
     * Formats a request that deletes an object if it has the expected version.
     *
     * @param key kind and name of the object
     * @param expectedVersion version that the object must have
     * @return the request
     */
    Request deleteRequest(ObjectKey key, long expectedVersion);

    /**
     * Parses the response to a write or a deletion.
     *
     * @param answer response of the store
     * @param body body as JSON, a missing node if it is not JSON
     * @return outcome of the write or the deletion
     */
    WriteResult parseWriteResult(BufferedHttpResponse answer, JsonNode body);

    /**
     * Formats a request that lists one page of objects.
     *
     * @param kind kind of object
     * @param namePrefix prefix of the names, empty for all
     * @param from where the page begins, empty for the first
     * @return the request
     */
    Request listRequest(String kind, String namePrefix, String from);

    /**
     * Parses one page of a list from a response with status 200.
     *
     * @param kind kind of object
     * @param namePrefix prefix of the names, empty for all
     * @param body the body as JSON
     * @return the page
     */
    Page parsePage(String kind, String namePrefix, JsonNode body);

    /**
     * Formats a request that waits for changes.
     *
     * @param kinds kinds to watch
     * @param afterRevision last revision that the caller knows
     * @param wait longest time to wait
     * @return the request
     */
    Request watchRequest(Set<String> kinds, long afterRevision, Duration wait);

    /**
     * Parses the changes of a watch from a response with status 200.
     *
     * @param kinds kinds that were watched
     * @param body the body as JSON
     * @return the changes
     */
    WatchResult parseChanges(Set<String> kinds, JsonNode body);

    /**
     * Formats a request that reads the list of instances.
     *
     * @return the request, empty if the store has no such list
     */
    Optional<Request> instancesRequest();

    /**
     * Parses the list of instances from a response with status 200.
     *
     * @param body the body as JSON
     * @return the list
     */
    InstancesResult parseInstances(JsonNode body);

    /**
     * Parses the response to a write that took no effect.
     *
     * @param answer response of the store
     * @return the result, rejected if the store won't accept the same content later either
     */
    static WriteResult.NotWritten notWritten(BufferedHttpResponse answer) {
        return new WriteResult.NotWritten(
                refusalReason(answer), REJECTED_STATUSES.contains(answer.status()));
    }

    /**
     * Describes why the store refused a call.
     *
     * @param answer response of the store
     * @return the reason, with the status and the time to wait if the response has one
     */
    static String refusalReason(BufferedHttpResponse answer) {
        String retryAfter = answer.header("Retry-After");
        return "the platform answered "
                + answer.status()
                + (retryAfter == null ? "" : ", retry after " + retryAfter + " s");
    }
}
