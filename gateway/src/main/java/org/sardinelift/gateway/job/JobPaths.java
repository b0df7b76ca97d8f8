package org.sardinelift.gateway.job;

import io.netty.handler.codec.http.QueryStringEncoder;
import java.util.Map;
import org.sardinelift.core.plan.RoutePlan;

/** Paths and queries of the internal calls about batch jobs, from gateways to workers. */
public final class JobPaths {
    /** Prefix of all paths. */
    public static final String PREFIX = "/jobs/";

    static final String RESULTS = "/results";
    static final String ITEMS = "/items/";
    static final String TEAM = "team";
    static final String ROUTE = "route";
    static final String HOST = "host";
    static final String MAX_WAITING_TOKENS = "maxWaitingTokens";
    static final String AFTER = "after";
    static final String WAIT_MS = "waitMs";

    private JobPaths() {}

    /**
     * URI of the submission of a job.
     *
     * @param job name of the job
     * @param team team that it runs for
     * @param route its route
     * @param host host header of the caller's request
     * @return path and query
     */
    public static String submitUri(String job, String team, RoutePlan route, String host) {
        return uri(
                PREFIX + job,
                Map.of(
                        TEAM,
                        team,
                        ROUTE,
                        route.name(),
                        HOST,
                        host,
                        MAX_WAITING_TOKENS,
                        Long.toString(route.maxWaitingTokens())));
    }

    /**
     * URI of a call about a submitted job.
     *
     * @param call the call
     * @param team team of the caller
     * @return path and query
     */
    public static String callUri(JobApi.JobCall call, String team) {
        if (call instanceof JobApi.JobCall.Results results) {
            return uri(
                    PREFIX + call.job() + RESULTS,
                    Map.of(
                            TEAM,
                            team,
                            AFTER,
                            Integer.toString(results.firstPosition()),
                            WAIT_MS,
                            Long.toString(results.waitMs())));
        }
        String path =
                call instanceof JobApi.JobCall.ItemBody body
                        ? PREFIX + call.job() + ITEMS + body.item()
                        : PREFIX + call.job();
        return uri(path, Map.of(TEAM, team));
    }

    private static String uri(String path, Map<String, String> query) {
        QueryStringEncoder encoder = new QueryStringEncoder(path);
        query.forEach(encoder::addParam);
        return encoder.toString();
    }
}
