/** Configuration objects, and how an instance keeps its copy of them up to date. */
@NullMarked
package org.sardinelift.core.catalog;

import org.jspecify.annotations.NullMarked;
