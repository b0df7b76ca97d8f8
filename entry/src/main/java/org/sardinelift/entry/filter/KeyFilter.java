package org.sardinelift.entry.filter;

import java.util.Optional;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.catalog.Catalog;
import org.sardinelift.core.catalog.KeyDigest;
import org.sardinelift.core.catalog.KeyEntry;
import org.sardinelift.core.catalog.ServiceSpec;
import org.sardinelift.core.catalog.TeamPlan;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;

/** Authenticates the caller and finds the team of its key. Open services need no key. */
public final class KeyFilter implements CallFilter {
    private static final String BEARER_PREFIX = "Bearer ";

    private final Supplier<Catalog> catalog;
    private final KeyDigest digest;
    private final TeamPlan openTeam;

    private KeyFilter(Supplier<Catalog> catalog, KeyDigest digest, TeamPlan openTeam) {
        this.catalog = catalog;
        this.digest = digest;
        this.openTeam = openTeam;
    }

    /**
     * Creates the filter.
     *
     * @param catalog supplies the current configuration
     * @param digest keyed hash of callers' keys
     * @param openTeam team plan for calls of open services without a valid key
     * @return the filter
     */
    public static KeyFilter of(Supplier<Catalog> catalog, KeyDigest digest, TeamPlan openTeam) {
        return new KeyFilter(catalog, digest, openTeam);
    }

    @Override
    public void apply(CallContext call, Runnable next) {
        Catalog current = catalog.get();
        String key = bearerKey(call.exchange().header("authorization"));
        Optional<Problem> refusal =
                key == null
                        ? Optional.of(
                                Problem.notRun(
                                        ProblemKind.UNAUTHENTICATED,
                                        "the Authorization header has no bearer key"))
                        : authenticate(call, current, key);
        if (refusal.isPresent() && isOpen(current, call)) {
            call.setCaller(key, null, openTeam);
            next.run();
        } else if (refusal.isPresent()) {
            call.refuse(refusal.get());
        } else {
            next.run();
        }
    }

    private Optional<Problem> authenticate(CallContext call, Catalog current, String key) {
        KeyEntry entry = KeyDigest.idOf(key).map(current.keys()::get).orElse(null);
        if (entry == null || !digest.matches(key, entry.digest())) {
            return Optional.of(
                    Problem.notRun(ProblemKind.UNAUTHENTICATED, "the key is not known here"));
        }
        if (entry.isWithdrawn()) {
            return Optional.of(
                    Problem.notRun(
                            ProblemKind.KEY_WITHDRAWN, "key " + entry.id() + " was withdrawn"));
        }
        TeamPlan team = current.teams().get(entry.team());
        if (team == null) {
            return Optional.of(
                    Problem.notRun(
                            ProblemKind.FORBIDDEN, "team " + entry.team() + " no longer exists"));
        }
        call.setCaller(key, entry.id(), team);
        return Optional.empty();
    }

    private static boolean isOpen(Catalog current, CallContext call) {
        return ServicePath.parse(call.exchange().uri())
                .map(path -> current.services().get(path.service()))
                .filter(ServiceSpec::isOpen)
                .isPresent();
    }

    private static @Nullable String bearerKey(@Nullable String header) {
        if (header == null
                || !header.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length())) {
            return null;
        }
        String key = header.substring(BEARER_PREFIX.length()).trim();
        return key.isEmpty() ? null : key;
    }
}
