package org.sardinelift.core.catalog;

import java.util.Optional;
import java.util.Set;

/**
 * A team as operators configure it: a template and the values in which the team differs from it.
 *
 * @param name team name
 * @param template name of its template
 * @param ratePerSecond own rate, requests a second
 * @param burst own burst, requests
 * @param models own models
 * @param services own plain services
 * @param onlineWeight own weight of online work
 * @param batchWeight own weight of batch work
 */
public record TeamSpec(
        String name,
        String template,
        Optional<Double> ratePerSecond,
        Optional<Double> burst,
        Optional<Set<String>> models,
        Optional<Set<String>> services,
        Optional<Integer> onlineWeight,
        Optional<Integer> batchWeight)
        implements ConfigItem {

    /**
     * Overrides the values of the template with the team's own.
     *
     * @param base the template
     * @return the effective values
     */
    public TeamPlan resolve(TeamTemplate base) {
        return new TeamPlan(
                name,
                ratePerSecond.orElse(base.ratePerSecond()),
                burst.orElse(base.burst()),
                models.orElse(base.models()),
                services.orElse(base.services()),
                onlineWeight.orElse(base.onlineWeight()),
                batchWeight.orElse(base.batchWeight()));
    }
}
