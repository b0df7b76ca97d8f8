/** Fakes for the tests of several modules. */
@NullMarked
package org.sardinelift.testkit;

import org.jspecify.annotations.NullMarked;
