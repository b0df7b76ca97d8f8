package org.sardinelift.objects;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.sardinelift.http.HttpAnswer;

/** The object API that docs/PLATFORM.md describes and the stand-in serves. */
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
    public ReadResult parseReadResult(ObjectKey key, HttpAnswer answer, JsonNode body) {
        if (answer.status() == NOT_FOUND) {
            return absent(key, answer);
        }
        return answer.status() == OK
                ? ObjectJson.found(body)
                : new ReadResult.Unavailable(ObjectDialect.refusalReason(answer));
    }

    private static ReadResult absent(ObjectKey key, HttpAnswer answer) {
        String revision = answer.header("Revision");
        try {
            return new ReadResult.Absent(Long.parseLong(String.valueOf(revision)));
        } catch (NumberFormatException e) {
            return new ReadResult.Unavailable(
                    "404 for " + ObjectPath.of(key) + " without a Revision header");
        }
    }

    @Override
    public Request writeRequest(ObjectKey key, long expectedVersion, String value) {
        return new Request(
                "PUT", conditional(key, expectedVersion), value.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public Request deleteRequest(ObjectKey key, long expectedVersion) {
        return Request.of("DELETE", conditional(key, expectedVersion));
    }

    private static String conditional(ObjectKey key, long expectedVersion) {
        return ObjectPath.of(key) + "?ifVersion=" + expectedVersion;
    }

    @Override
    public WriteResult parseWriteResult(HttpAnswer answer, JsonNode body) {
        if (answer.status() == OK) {
            return ObjectJson.written(body);
        }
        if (answer.status() == CONFLICT) {
            return ObjectJson.conflict(body);
        }
        boolean notApplied =
                "no".equalsIgnoreCase(answer.header(APPLIED_HEADER))
                        || answer.status() == TOO_MANY_REQUESTS
                        || answer.status() < FIRST_SERVER_ERROR;
        String reason = ObjectDialect.refusalReason(answer);
        return notApplied ? new WriteResult.NotWritten(reason) : new WriteResult.Unclear(reason);
    }

    @Override
    public Request listRequest(String kind, String namePrefix, String from) {
        return Request.of(
                "GET",
                "/objects/" + ObjectPath.encode(kind) + "?prefix=" + ObjectPath.encode(namePrefix));
    }

    @Override
    public Page parsePage(String kind, String namePrefix, JsonNode body) {
        return new Page(ObjectJson.listed(body), Optional.empty());
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
        return ObjectJson.changes(body);
    }

    @Override
    public Optional<Request> instancesRequest() {
        return Optional.of(Request.of("GET", "/instances"));
    }

    @Override
    public InstancesResult parseInstances(JsonNode body) {
        return ObjectJson.instances(body);
    }
}
