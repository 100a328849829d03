# Every kind of fault that the requirements name, at least once. 8 gateways, 4 switches, 300 calls per second.
name    = "trouble"
length  = "70s"
regions = ["montreal", "saguenay"]

gateways {
  count = 8
}

pools {
  count = 4
}

skill "shift-lookup" {
  share    = 0.94
  target   = "2s"
  patience = "9s"
  value    = 1
  hold     = "9s"
}

skill "absence-report" {
  share    = 0.06
  target   = "1s"
  patience = "6s"
  value    = 8
  hold     = "5s"
}

customer "epicerie.example" {
  share = 0.6
}

customer "pharmacie.example" {
  share = 0.4
}

load {
  rate = 300
}

trouble "burst" {
  at   = "5s"
  for  = "5s"
  size = 1.5
}

trouble "uneven" {
  at   = "12s"
  for  = "8s"
  part = 0.13
  size = 0.3
}

trouble "slow" {
  at   = "14s"
  for  = "8s"
  part = 0.25
  size = 2.5
}

trouble "deploy" {
  at   = "20s"
  for  = "6s"
  part = 0.25
}

trouble "restart" {
  at   = "26s"
  for  = "2s"
  part = 0.25
}

trouble "stall" {
  at   = "30s"
  for  = "5s"
  part = 0.25
  size = 1.5
}

trouble "other" {
  at   = "34s"
  for  = "8s"
  part = 0.25
  size = 0.5
}

trouble "mute" {
  at  = "36s"
  for = "6s"
}

trouble "silent" {
  at   = "43s"
  for  = "9s"
  part = 0.25
}

trouble "lines" {
  at     = "55s"
  for    = "5s"
  region = "saguenay"
  size   = 0.45
}

trouble "slow_all" {
  at   = "62s"
  for  = "4s"
  size = 1.6
}
