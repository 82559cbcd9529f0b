/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.larkkeel.config.Change;
import org.larkkeel.config.ChangeCodec;
import org.larkkeel.config.Changes;
import org.larkkeel.config.Checked;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.ConfigurationDocument;
import org.larkkeel.lib.ChangeId;
import org.larkkeel.lib.Revision;
import org.larkkeel.store.log.LogEntry;
import org.larkkeel.store.log.LogSnapshot;
import org.larkkeel.store.log.Replica;

/**
 * The configuration and its audit trail, built from the entries of the log. It does no I/O and is
 * not thread-safe.
 *
 * <p>Invariants: the revision is the number of the last entry applied and never decreases; the same
 * entries produce the same configuration on every node. If this software version cannot read an
 * entry, the replica stops at the previous revision, so that it never diverges from the other
 * nodes.
 *
 * @since 0.1
 */
public final class ConfigReplica implements Replica {
  /**
   * The maximum number of changes kept in the audit trail, and in snapshots; older ones are
   * dropped.
   */
  public static final int MAX_AUDIT_ENTRIES = 20_000;

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String DOCUMENT = "document";
  private static final String AUDIT = "audit";
  private static final String REVISION = "revision";
  private static final String CHANGE = "change";
  private static final String SOURCE = "log";

  private final Deque<AuditEntry> audit = new ArrayDeque<>();
  private Configuration configuration = Configuration.EMPTY;
  private Optional<Revision> unreadableRevision = Optional.empty();

  /**
   * Returns the configuration.
   *
   * @return the configuration after the last entry, never null
   */
  public Configuration configuration() {
    return configuration;
  }

  /**
   * Returns the audit trail.
   *
   * @param after the revision after which changes are returned
   * @return the changes in order
   */
  public ImmutableList<AuditEntry> audit(Revision after) {
    return audit.stream()
        .filter(e -> e.revision().isAfter(after))
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Finds a change in the audit trail.
   *
   * @param id the id of the change
   * @return the entry, empty if the change was not accepted or is older than the audit trail
   */
  public Optional<AuditEntry> find(ChangeId id) {
    return audit.stream().filter(e -> e.change().id().equals(id)).findFirst();
  }

  /**
   * Returns the revision of the unreadable entry that stopped the replica.
   *
   * @return the revision, empty if all entries could be read
   */
  public Optional<Revision> unreadableRevision() {
    return unreadableRevision;
  }

  @Override
  public void apply(LogEntry e) {
    long expected = configuration.revision().value() + 1;
    if (unreadableRevision.isPresent() || e.number() < expected) {
      return;
    }
    if (e.number() > expected) {
      throw new IllegalArgumentException(
          "the log entry's number is " + e.number() + ": expected " + expected);
    }
    Checked<Change> change = readChange(e.records().get(0));
    if (change instanceof Checked.Valid<Change> v) {
      accept(new AuditEntry(new Revision(e.number()), v.value()));
    } else {
      unreadableRevision = Optional.of(new Revision(e.number()));
    }
  }

  private void accept(AuditEntry e) {
    configuration = Changes.replay(configuration, e.change()).withRevision(e.revision());
    audit.addLast(e);
    while (audit.size() > MAX_AUDIT_ENTRIES) {
      audit.removeFirst();
    }
  }

  @Override
  public byte[] save() {
    ObjectNode o = MAPPER.createObjectNode();
    o.put(DOCUMENT, ConfigurationDocument.write(configuration));
    for (AuditEntry e : audit) {
      ObjectNode item = o.withArray(AUDIT).addObject();
      item.put(REVISION, e.revision().value()).set(CHANGE, ChangeCodec.toJson(e.change()));
    }
    try {
      return MAPPER.writeValueAsBytes(o);
    } catch (IOException ex) {
      throw new UncheckedIOException(ex);
    }
  }

  @Override
  public void restore(LogSnapshot s) {
    if (s.through() <= configuration.revision().value()) {
      return;
    }
    JsonNode o;
    try {
      o = MAPPER.readTree(s.content());
    } catch (IOException ex) {
      throw new UncheckedIOException("the snapshot of the configuration is not valid JSON", ex);
    }
    Checked<Configuration> read =
        ConfigurationDocument.readAccepted(SOURCE, o.path(DOCUMENT).asText());
    if (!(read instanceof Checked.Valid<Configuration> v)) {
      unreadableRevision = Optional.of(new Revision(s.through()));
      return;
    }
    unreadableRevision = Optional.empty();
    configuration = v.value().withRevision(new Revision(s.through()));
    audit.clear();
    o.path(AUDIT).forEach(this::restoreAudit);
  }

  private void restoreAudit(JsonNode item) {
    Revision revision = new Revision(item.path(REVISION).asLong());
    if (readChange(item.path(CHANGE)) instanceof Checked.Valid<Change> v) {
      audit.addLast(new AuditEntry(revision, v.value()));
    }
  }

  private static Checked<Change> readChange(JsonNode node) {
    return ChangeCodec.readAccepted(SOURCE, node.toString());
  }
}
