package org.sardinelift.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/**
 * Checks that core, which makes the decisions, uses no I/O, threads, clock or global randomness.
 */
@AnalyzeClasses(
        packages = "org.sardinelift.core",
        importOptions = ImportOption.DoNotIncludeTests.class)
class DecisionPurityTest {
    @ArchTest
    static final ArchRule NO_INPUT_OR_OUTPUT =
            noClasses()
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "java.io..",
                            "java.nio.file..",
                            "java.nio.channels..",
                            "java.net..",
                            "io.netty..",
                            "org.tinylog..",
                            "com.fasterxml..");

    @ArchTest
    static final ArchRule NO_THREADS =
            noClasses()
                    .should()
                    .dependOnClassesThat()
                    .haveNameMatching(
                            "java\\.lang\\.Thread|java\\.util\\.concurrent\\.(Executor.*|"
                                    + "ThreadPool.*|Scheduled.*|CompletableFuture|ThreadLocal.*|"
                                    + "locks\\..*)|java\\.util\\.Timer");

    @ArchTest
    static final ArchRule NO_CLOCK_OR_GLOBAL_RANDOMNESS =
            noClasses()
                    .should()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(java.time.Instant.class, "now")
                    .orShould()
                    .callMethod(Math.class, "random")
                    .orShould()
                    .callMethod(java.util.UUID.class, "randomUUID")
                    .orShould()
                    .callConstructor(java.util.Random.class);
}
