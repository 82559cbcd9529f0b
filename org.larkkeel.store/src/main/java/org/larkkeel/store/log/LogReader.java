/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

import com.google.common.collect.ImmutableList;
import java.io.ByteArrayOutputStream;
import java.util.Base64;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.larkkeel.store.ListQuery;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.ObjectApiException;
import org.larkkeel.store.ObjectApiFailure;
import org.larkkeel.store.ObjectKey;
import org.larkkeel.store.ObjectPage;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.StoredObject;

/** Reads the entries, the manifest and the snapshot of one log. Confined to the scheduler. */
final class LogReader {
  static final String DATA = "data";

  private static final int MAX_RESTARTS = 5;

  private final ObjectApi api;
  private final LogName name;

  LogReader(ObjectApi api, LogName name) {
    this.api = api;
    this.name = name;
  }

  CompletableFuture<Optional<LogEntry>> entry(long number) {
    return find(name.entry(number)).thenApply(o -> o.map(x -> LogCodec.read(number, x.spec())));
  }

  CompletableFuture<Manifest> manifest() {
    return find(name.manifest())
        .thenApply(
            o -> o.map(x -> Manifest.read(x.resourceVersion(), x.spec())).orElse(Manifest.NONE));
  }

  CompletableFuture<LogView> read(long after) {
    return read(after, MAX_RESTARTS);
  }

  private CompletableFuture<LogView> read(long after, int restarts) {
    return manifest()
        .thenCompose(m -> read(after, m))
        .thenCompose(
            view -> {
              if (view.isPresent()) {
                return CompletableFuture.completedFuture(view.get());
              }
              return restarts > 0
                  ? read(after, restarts - 1)
                  : CompletableFuture.failedFuture(changedDuringRead());
            });
  }

  /** Returns empty if the snapshot was replaced or entries were truncated during the read. */
  private CompletableFuture<Optional<LogView>> read(long after, Manifest m) {
    if (after >= m.truncatedThrough() && after > 0 || m.through() == 0) {
      return entriesAfter(after, Optional.empty());
    }
    return snapshotContent(m)
        .thenCompose(
            c -> {
              if (c.isEmpty()) {
                return CompletableFuture.completedFuture(Optional.empty());
              }
              LogSnapshot s = new LogSnapshot(m.through(), c.get());
              return entriesAfter(s.through(), Optional.of(s));
            });
  }

  private CompletableFuture<Optional<LogView>> entriesAfter(
      long base, Optional<LogSnapshot> snapshot) {
    EntryCollector result = new EntryCollector(base);
    return readPages(result, ListQuery.of(name.value()).withPrefix(name.entryPrefix()))
        .thenApply(
            done ->
                result.hasGap
                    ? Optional.empty()
                    : Optional.of(
                        new LogView(
                            snapshot, result.entries.build(), result.last, result.version)));
  }

  private CompletableFuture<Void> readPages(EntryCollector result, ListQuery query) {
    ListQuery bounded =
        new ListQuery(
            query.collection(), query.prefix(), LogOptions.PAGE_ENTRIES, query.continueToken());
    return api.list(bounded)
        .thenCompose(
            page -> {
              addPage(result, page);
              return page.isLast()
                  ? CompletableFuture.completedFuture(null)
                  : readPages(result, query.after(page.continueToken()));
            });
  }

  private void addPage(EntryCollector result, ObjectPage page) {
    if (result.version.isNone()) {
      result.version = page.resourceVersion();
    }
    for (StoredObject o : page.items()) {
      OptionalLong n = name.numberOf(o.key());
      if (n.isPresent()) {
        result.add(n.getAsLong(), o);
      }
    }
  }

  private CompletableFuture<Optional<byte[]>> snapshotContent(Manifest m) {
    return readChunks(m.chunks(), 0, new ByteArrayOutputStream());
  }

  private CompletableFuture<Optional<byte[]>> readChunks(
      ImmutableList<String> names, int i, ByteArrayOutputStream out) {
    if (i == names.size()) {
      return CompletableFuture.completedFuture(Optional.of(out.toByteArray()));
    }
    return find(new ObjectKey(name.snapshotCollection(), names.get(i)))
        .thenCompose(
            o -> {
              if (o.isEmpty()) {
                return CompletableFuture.completedFuture(Optional.empty());
              }
              byte[] part = Base64.getDecoder().decode(o.get().spec().path(DATA).asText());
              out.write(part, 0, part.length);
              return readChunks(names, i + 1, out);
            });
  }

  private CompletableFuture<Optional<StoredObject>> find(ObjectKey key) {
    return api.get(key)
        .handle(
            (o, failure) -> {
              if (failure == null) {
                return Optional.of(o);
              }
              if (isNotFound(failure)) {
                return Optional.empty();
              }
              throw new CompletionException(failure);
            });
  }

  static boolean isNotFound(Throwable failure) {
    return ObjectApiException.failureOf(failure).orElse(null) instanceof ObjectApiFailure.NotFound;
  }

  private ObjectApiException changedDuringRead() {
    return new ObjectApiException(
        new ObjectApiFailure.Unavailable(),
        "log " + name + " changed during each of several reads");
  }

  /** The entries that a read has collected so far. */
  private static final class EntryCollector {
    final ImmutableList.Builder<LogEntry> entries = ImmutableList.builder();
    long last;
    StoreVersion version = StoreVersion.NONE;
    boolean hasGap;

    EntryCollector(long base) {
      this.last = base;
    }

    void add(long n, StoredObject o) {
      if (n <= last) {
        return;
      }
      if (n != last + 1) {
        hasGap = true;
        return;
      }
      last = n;
      entries.add(LogCodec.read(n, o.spec()));
    }
  }
}
