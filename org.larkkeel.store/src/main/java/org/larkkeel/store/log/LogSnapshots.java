/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Predicate;
import org.larkkeel.store.ListQuery;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.ObjectApiException;
import org.larkkeel.store.ObjectApiFailure;
import org.larkkeel.store.ObjectKey;
import org.larkkeel.store.ObjectPage;
import org.larkkeel.store.StoredObject;

/**
 * Writes snapshots and truncates. Chunks are created first, then the manifest is swapped by a
 * conditional update, then what it covers is deleted. Confined to the scheduler.
 */
final class LogSnapshots {
  private static final String CHUNK_KIND = "LogSnapshotChunk";

  private final ObjectApi api;
  private final LogName name;
  private final LogOptions options;
  private final LogReads reads;

  LogSnapshots(ObjectApi api, LogName name, LogOptions options, LogReads reads) {
    this.api = api;
    this.name = name;
    this.options = options;
    this.reads = reads;
  }

  CompletableFuture<SnapshotResult> write(LogSnapshot s, AppendId id) {
    return reads
        .manifest()
        .thenCompose(
            old -> {
              if (old.through() >= s.through()) {
                return CompletableFuture.completedFuture(SnapshotResult.SUPERSEDED);
              }
              return createChunks(s, id).thenCompose(names -> swap(old, s, names));
            });
  }

  private CompletableFuture<ImmutableList<String>> createChunks(LogSnapshot s, AppendId id) {
    String unique = id.toString().replace('/', '_');
    ImmutableList.Builder<String> names = ImmutableList.builder();
    CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
    int count = Math.max(1, Math.ceilDiv(s.content().length, options.chunkBytes()));
    for (int i = 0; i < count; i++) {
      ObjectKey key = name.chunk(s.through(), unique, i);
      names.add(key.name());
      JsonNode spec = chunkSpec(s.content(), i);
      all = all.thenCompose(ok -> api.create(key, CHUNK_KIND, spec)).thenApply(o -> null);
    }
    return all.thenApply(ok -> names.build());
  }

  private JsonNode chunkSpec(byte[] content, int i) {
    int from = i * options.chunkBytes();
    int to = Math.min(content.length, from + options.chunkBytes());
    String data = Base64.getEncoder().encodeToString(Arrays.copyOfRange(content, from, to));
    return JsonNodeFactory.instance.objectNode().put(LogReads.DATA, data);
  }

  private CompletableFuture<SnapshotResult> swap(
      Manifest old, LogSnapshot s, ImmutableList<String> chunks) {
    long truncated = Math.max(old.truncated(), s.through() - options.keepEntries());
    Manifest m = new Manifest(old.version(), s.through(), truncated, chunks);
    return put(m)
        .thenCompose(ok -> truncate(m))
        .thenApply(ok -> SnapshotResult.WRITTEN)
        .exceptionallyCompose(LogSnapshots::superseded);
  }

  private CompletableFuture<StoredObject> put(Manifest m) {
    return m.version().isNone()
        ? api.create(name.manifest(), Manifest.KIND, m.toSpec())
        : api.update(name.manifest(), Manifest.KIND, m.toSpec(), m.version());
  }

  private static CompletableFuture<SnapshotResult> superseded(Throwable t) {
    ObjectApiFailure f = ObjectApiException.failureOf(t).orElse(null);
    boolean raced =
        f instanceof ObjectApiFailure.Conflict || f instanceof ObjectApiFailure.AlreadyExists;
    return raced
        ? CompletableFuture.completedFuture(SnapshotResult.SUPERSEDED)
        : CompletableFuture.failedFuture(t);
  }

  private CompletableFuture<Void> truncate(Manifest m) {
    List<StoredObject> covered = new ArrayList<>();
    ListQuery entries = ListQuery.of(name.value()).withPrefix(name.entryPrefix());
    ListQuery chunks = ListQuery.of(name.snapshotCollection()).withPrefix(name.chunkPrefix());
    return gather(entries, covered, o -> isCovered(o, m))
        .thenCompose(ok -> deleteAll(withoutNewestSeals(covered), 0))
        .thenCompose(ok -> sweepChunks(chunks, m));
  }

  private CompletableFuture<Void> sweepChunks(ListQuery q, Manifest m) {
    List<StoredObject> old = new ArrayList<>();
    return gather(q, old, o -> name.chunkThrough(o.key()) < m.through())
        .thenCompose(ok -> deleteAll(old, 0));
  }

  private boolean isCovered(StoredObject o, Manifest m) {
    OptionalLong n = name.numberOf(o.key());
    return n.isPresent() && n.getAsLong() <= m.truncated();
  }

  private List<StoredObject> withoutNewestSeals(List<StoredObject> covered) {
    List<StoredObject> doomed = new ArrayList<>(covered);
    int kept = 0;
    for (int i = doomed.size() - 1; i >= 0 && kept < options.keepSeals(); i--) {
      StoredObject o = doomed.get(i);
      if (LogCodec.read(name.numberOf(o.key()).getAsLong(), o.spec()).type() == EntryType.SEAL) {
        doomed.remove(i);
        kept++;
      }
    }
    return doomed;
  }

  private CompletableFuture<Void> gather(
      ListQuery q, List<StoredObject> into, Predicate<StoredObject> filter) {
    ListQuery bounded =
        new ListQuery(q.collection(), q.prefix(), LogOptions.PAGE_ENTRIES, q.continueToken());
    return api.list(bounded)
        .thenCompose(
            (ObjectPage page) -> {
              page.items().stream().filter(filter).forEach(into::add);
              return page.isLast()
                  ? CompletableFuture.completedFuture(null)
                  : gather(q.after(page.continueToken()), into, filter);
            });
  }

  /** One at a time, so that a truncation takes no more than one call of the budget at once. */
  private CompletableFuture<Void> deleteAll(List<StoredObject> doomed, int i) {
    if (i == doomed.size()) {
      return CompletableFuture.completedFuture(null);
    }
    StoredObject o = doomed.get(i);
    return api.delete(o.key(), o.resourceVersion())
        .exceptionally(LogSnapshots::ignoreGone)
        .thenCompose(ok -> deleteAll(doomed, i + 1));
  }

  private static Void ignoreGone(Throwable t) {
    if (LogReads.isNotFound(t)) {
      return null;
    }
    throw new CompletionException(t);
  }
}
