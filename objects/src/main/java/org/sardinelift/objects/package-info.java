/** The platform's object API: versions, conditional updates, watches, outages. */
@NullMarked
package org.sardinelift.objects;

import org.jspecify.annotations.NullMarked;
