package org.sardinelift.server;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/**
 * The server must create no clients itself: it would bypass the settings of a role, which apply to
 * all clients that the role uses.
 */
@AnalyzeClasses(
        packages = "org.sardinelift.server",
        importOptions = ImportOption.DoNotIncludeTests.class)
class RoleDependenciesTest {
    @ArchTest
    static final ArchRule NO_CLIENTS =
            noClasses()
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "org.sardinelift.objects..", "org.sardinelift.http..", "io.netty..");
}
