package org.sardinelift.core.catalog;

/**
 * A problem in a configuration object.
 *
 * @param path path of the value, such as {@code team/north/ratePerSecond}
 * @param expected what was expected
 * @param found what was found
 * @param remedy what to do about it
 */
public record ConfigProblem(String path, String expected, String found, String remedy) {

    /**
     * Reports a team whose template doesn't exist.
     *
     * @param team team name
     * @param template template named by the team
     * @return the problem
     */
    public static ConfigProblem missingTemplate(String team, String template) {
        return new ConfigProblem(
                "team/" + team + "/template",
                "the name of a template",
                template,
                "Apply the template first, or name another.");
    }

    /**
     * Reports a key whose team doesn't exist.
     *
     * @param key key identifier
     * @param team team named by the key
     * @return the problem
     */
    public static ConfigProblem missingTeam(String key, String team) {
        return new ConfigProblem(
                "key/" + key + "/team",
                "the name of a team",
                team,
                "Apply the team first, or name another.");
    }

    @Override
    public String toString() {
        return path + ": expected " + expected + ", found " + found + ". " + remedy;
    }
}
