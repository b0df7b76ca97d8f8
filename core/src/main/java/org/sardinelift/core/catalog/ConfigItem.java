package org.sardinelift.core.catalog;

/** A configuration object, as read by the codec of its kind. */
public sealed interface ConfigItem permits TeamTemplate, TeamSpec, KeyEntry, ServiceSpec {}
