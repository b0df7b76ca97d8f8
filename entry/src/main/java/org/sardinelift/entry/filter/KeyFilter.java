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

/** Finds the team of the caller's key. Open services need no key. */
public final class KeyFilter implements CallFilter {
    private static final String SCHEME = "Bearer ";

    private final Supplier<Catalog> catalog;
    private final KeyDigest digest;
    private final TeamPlan openTeam;

    private KeyFilter(Supplier<Catalog> catalog, KeyDigest digest, TeamPlan openTeam) {
        this.catalog = catalog;
        this.digest = digest;
        this.openTeam = openTeam;
    }

    /**
     * Makes the filter.
     *
     * @param catalog configuration in force
     * @param digest keyed hash of callers' keys
     * @param openTeam plan under which callers without a key use open services
     * @return the filter
     */
    public static KeyFilter of(Supplier<Catalog> catalog, KeyDigest digest, TeamPlan openTeam) {
        return new KeyFilter(catalog, digest, openTeam);
    }

    @Override
    public void apply(CallContext call, Runnable next) {
        Catalog now = catalog.get();
        String key = bearer(call.exchange().header("authorization"));
        Optional<Problem> refusal =
                key == null
                        ? Optional.of(
                                Problem.notRun(
                                        ProblemKind.UNAUTHENTICATED,
                                        "the Authorization header holds no bearer key"))
                        : check(call, now, key);
        if (refusal.isPresent() && isOpen(now, call)) {
            call.setCaller(key, null, openTeam);
            next.run();
        } else if (refusal.isPresent()) {
            call.refuse(refusal.get());
        } else {
            next.run();
        }
    }

    private Optional<Problem> check(CallContext call, Catalog now, String key) {
        KeyEntry entry = KeyDigest.idOf(key).map(now.keys()::get).orElse(null);
        if (entry == null || !digest.matches(key, entry.digest())) {
            return Optional.of(
                    Problem.notRun(ProblemKind.UNAUTHENTICATED, "the key is not known here"));
        }
        if (entry.isWithdrawn()) {
            return Optional.of(
                    Problem.notRun(
                            ProblemKind.KEY_WITHDRAWN, "key " + entry.id() + " was withdrawn"));
        }
        TeamPlan team = now.teams().get(entry.team());
        if (team == null) {
            return Optional.of(
                    Problem.notRun(
                            ProblemKind.FORBIDDEN, "team " + entry.team() + " no longer exists"));
        }
        call.setCaller(key, entry.id(), team);
        return Optional.empty();
    }

    private static boolean isOpen(Catalog now, CallContext call) {
        return ServicePath.parse(call.exchange().uri())
                .map(path -> now.services().get(path.service()))
                .filter(ServiceSpec::isOpen)
                .isPresent();
    }

    private static @Nullable String bearer(@Nullable String header) {
        if (header == null || !header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return null;
        }
        String key = header.substring(SCHEME.length()).trim();
        return key.isEmpty() ? null : key;
    }
}
