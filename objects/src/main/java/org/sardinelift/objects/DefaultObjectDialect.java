package org.sardinelift.objects;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.sardinelift.http.BufferedHttpResponse;

/** Dialect of the object API in docs/PLATFORM.md, which the platform stand-in serves. */
final class DefaultObjectDialect implements ObjectDialect {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final String APPLIED_HEADER = "Applied";

    @Override
    public Request readRequest(ObjectKey key) {
        return Request.of("GET", ObjectPath.of(key));
    }

    @Override
    public ReadResult parseReadResult(ObjectKey key, BufferedHttpResponse answer, JsonNode body) {
        if (answer.status() == NOT_FOUND) {
            return parseAbsent(key, answer);
        }
        return answer.status() == OK
                ? ObjectJson.parseFound(body)
                : new ReadResult.Unavailable(ObjectDialect.refusalReason(answer));
    }

    private static ReadResult parseAbsent(ObjectKey key, BufferedHttpResponse answer) {
        String revision = answer.header("Revision");
        try {
            return new ReadResult.Absent(Long.parseLong(String.valueOf(revision)));
        } catch (NumberFormatException e) {
            return new ReadResult.Unavailable(
                    "status 404 for " + ObjectPath.of(key) + " has no valid Revision header");
        }
    }

    @Override
    public Request writeRequest(ObjectKey key, long expectedVersion, String value) {
        return new Request(
                "PUT",
                conditionalUri(key, expectedVersion),
                value.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public Request deleteRequest(ObjectKey key, long expectedVersion) {
        return Request.of("DELETE", conditionalUri(key, expectedVersion));
    }

    private static String conditionalUri(ObjectKey key, long expectedVersion) {
        return ObjectPath.of(key) + "?ifVersion=" + expectedVersion;
    }

    @Override
    public WriteResult parseWriteResult(BufferedHttpResponse answer, JsonNode body) {
        if (answer.status() == OK) {
            return ObjectJson.parseWritten(body);
        }
        if (answer.status() == CONFLICT) {
            return ObjectJson.parseConflict(body);
        }
        boolean notApplied =
                "no".equalsIgnoreCase(answer.header(APPLIED_HEADER))
                        || answer.status() == TOO_MANY_REQUESTS
                        || answer.status() < FIRST_SERVER_ERROR;
        String reason = ObjectDialect.refusalReason(answer);
        return notApplied ? ObjectDialect.notWritten(answer) : new WriteResult.Unclear(reason);
    }

    @Override
    public Request listRequest(String kind, String namePrefix, String from) {
        return Request.of(
                "GET",
                "/objects/" + ObjectPath.encode(kind) + "?prefix=" + ObjectPath.encode(namePrefix));
    }

    @Override
    public Page parsePage(String kind, String namePrefix, JsonNode body) {
        return new Page(ObjectJson.parseListed(body), Optional.empty());
    }

    @Override
    public Request watchRequest(Set<String> kinds, long afterRevision, Duration wait) {
        String names =
                kinds.stream().sorted().map(ObjectPath::encode).collect(Collectors.joining(","));
        return Request.of(
                "GET",
                "/watch?kinds=" + names + "&after=" + afterRevision + "&waitMs=" + wait.toMillis());
    }

    @Override
    public WatchResult parseChanges(Set<String> kinds, JsonNode body) {
        return ObjectJson.parseChanges(body);
    }

    @Override
    public Optional<Request> instancesRequest() {
        return Optional.of(Request.of("GET", "/instances"));
    }

    @Override
    public InstancesResult parseInstances(JsonNode body) {
        return ObjectJson.parseInstances(body);
    }
}
