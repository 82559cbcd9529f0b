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
 * Writes snapshots and truncates the log. Chunks are created first, then the manifest is replaced
 * by a conditional update, then the entries and chunks that it makes obsolete are deleted. Confined
 * to the scheduler.
 */
final class LogSnapshotWriter {
  private static final String CHUNK_KIND = "LogSnapshotChunk";

  private final ObjectApi api;
  private final LogName name;
  private final LogOptions options;
  private final LogReader reader;

  LogSnapshotWriter(ObjectApi api, LogName name, LogOptions options, LogReader reader) {
    this.api = api;
    this.name = name;
    this.options = options;
    this.reader = reader;
  }

  CompletableFuture<SnapshotResult> write(LogSnapshot s, AppendId id) {
    return reader
        .manifest()
        .thenCompose(
            old -> {
              if (old.through() >= s.through()) {
                return CompletableFuture.completedFuture(SnapshotResult.SUPERSEDED);
              }
              return createChunks(s, id).thenCompose(names -> replaceManifest(old, s, names));
            });
  }

  private CompletableFuture<ImmutableList<String>> createChunks(LogSnapshot s, AppendId id) {
    String chunkId = id.toString().replace('/', '_');
    ImmutableList.Builder<String> names = ImmutableList.builder();
    CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
    int count = Math.max(1, Math.ceilDiv(s.content().length, options.chunkBytes()));
    for (int i = 0; i < count; i++) {
      ObjectKey key = name.chunk(s.through(), chunkId, i);
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
    return JsonNodeFactory.instance.objectNode().put(LogReader.DATA, data);
  }

  private CompletableFuture<SnapshotResult> replaceManifest(
      Manifest old, LogSnapshot s, ImmutableList<String> chunks) {
    long truncated = Math.max(old.truncatedThrough(), s.through() - options.retainedEntries());
    Manifest m = new Manifest(old.version(), s.through(), truncated, chunks);
    return put(m)
        .thenCompose(ok -> truncate(m))
        .thenApply(ok -> SnapshotResult.WRITTEN)
        .exceptionallyCompose(LogSnapshotWriter::supersededIfConflict);
  }

  private CompletableFuture<StoredObject> put(Manifest m) {
    return m.version().isNone()
        ? api.create(name.manifest(), Manifest.KIND, m.toSpec())
        : api.update(name.manifest(), Manifest.KIND, m.toSpec(), m.version());
  }

  private static CompletableFuture<SnapshotResult> supersededIfConflict(Throwable t) {
    ObjectApiFailure f = ObjectApiException.failureOf(t).orElse(null);
    boolean isConflict =
        f instanceof ObjectApiFailure.Conflict || f instanceof ObjectApiFailure.AlreadyExists;
    return isConflict
        ? CompletableFuture.completedFuture(SnapshotResult.SUPERSEDED)
        : CompletableFuture.failedFuture(t);
  }

  private CompletableFuture<Void> truncate(Manifest m) {
    List<StoredObject> covered = new ArrayList<>();
    ListQuery entries = ListQuery.of(name.value()).withPrefix(name.entryPrefix());
    ListQuery chunks = ListQuery.of(name.snapshotCollection()).withPrefix(name.chunkPrefix());
    return collect(entries, covered, o -> isCovered(o, m))
        .thenCompose(ok -> deleteAll(withoutNewestSeals(covered), 0))
        .thenCompose(ok -> deleteOldChunks(chunks, m));
  }

  private CompletableFuture<Void> deleteOldChunks(ListQuery q, Manifest m) {
    List<StoredObject> old = new ArrayList<>();
    return collect(q, old, o -> name.chunkThrough(o.key()) < m.through())
        .thenCompose(ok -> deleteAll(old, 0));
  }

  private boolean isCovered(StoredObject o, Manifest m) {
    OptionalLong n = name.numberOf(o.key());
    return n.isPresent() && n.getAsLong() <= m.truncatedThrough();
  }

  private List<StoredObject> withoutNewestSeals(List<StoredObject> covered) {
    List<StoredObject> obsolete = new ArrayList<>(covered);
    int kept = 0;
    for (int i = obsolete.size() - 1; i >= 0 && kept < options.retainedSeals(); i--) {
      StoredObject o = obsolete.get(i);
      if (LogCodec.read(name.numberOf(o.key()).getAsLong(), o.spec()).type() == EntryType.SEAL) {
        obsolete.remove(i);
        kept++;
      }
    }
    return obsolete;
  }

  private CompletableFuture<Void> collect(
      ListQuery q, List<StoredObject> into, Predicate<StoredObject> filter) {
    ListQuery bounded =
        new ListQuery(q.collection(), q.prefix(), LogOptions.PAGE_ENTRIES, q.continueToken());
    return api.list(bounded)
        .thenCompose(
            (ObjectPage page) -> {
              page.items().stream().filter(filter).forEach(into::add);
              return page.isLast()
                  ? CompletableFuture.completedFuture(null)
                  : collect(q.after(page.continueToken()), into, filter);
            });
  }

  /** Deletes one object at a time, so that truncation uses one call of the store budget at once. */
  private CompletableFuture<Void> deleteAll(List<StoredObject> objects, int i) {
    if (i == objects.size()) {
      return CompletableFuture.completedFuture(null);
    }
    StoredObject o = objects.get(i);
    return api.delete(o.key(), o.resourceVersion())
        .exceptionally(LogSnapshotWriter::ignoreNotFound)
        .thenCompose(ok -> deleteAll(objects, i + 1));
  }

  private static Void ignoreNotFound(Throwable t) {
    if (LogReader.isNotFound(t)) {
      return null;
    }
    throw new CompletionException(t);
  }
}
