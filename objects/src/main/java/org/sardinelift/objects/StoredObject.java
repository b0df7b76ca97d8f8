package org.sardinelift.objects;

/**
 * One object as the platform holds it.
 *
 * @param key its name
 * @param version grows by one with each write of this object, from 1
 * @param revision the store's revision at which this version was written
 * @param value UTF-8 text, at most 1 MB
 */
public record StoredObject(ObjectKey key, long version, long revision, String value) {}
